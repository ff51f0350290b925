//! The platform's list of VMs.

use std::{sync::Arc, time::Duration};

use futures::future::BoxFuture;

use crate::{error, protocol::vm_list, transport::http};

const CALL_LIMIT: Duration = Duration::from_secs(2);

type List = Result<Vec<vm_list::Vm>, error::Error>;

/// A reader of the list, as a plain function that can be replaced.
#[derive(Clone)]
pub struct Vms {
    /// Reads the list.
    pub read: Arc<dyn Fn() -> BoxFuture<'static, List> + Send + Sync>,
}

impl Vms {
    /// Makes a reader of the list at an `http://` address.
    ///
    /// ```
    /// fulmarproxy::transport::vms::Vms::over_http("http://127.0.0.1:2379/vms");
    /// ```
    pub fn over_http(url: &str) -> Self {
        let client = http::client(CALL_LIMIT);
        let url: Arc<str> = url.into();
        Self {
            read: Arc::new(move || {
                let (client, url) = (client.clone(), url.clone());
                Box::pin(async move { http::get(&client, "VM list", &url).await })
            }),
        }
    }
}
