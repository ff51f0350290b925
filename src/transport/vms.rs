//! Client of the platform's list of VMs.

use std::{sync::Arc, time::Duration};

use futures::future::BoxFuture;

use crate::{error, protocol::vm_list, transport::http};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

type ListResult = Result<Vec<vm_list::Vm>, error::Error>;

/// Reads the list of VMs, with a function value that tests can replace.
#[derive(Clone)]
pub struct Vms {
    /// Reads the current list.
    pub read: Arc<dyn Fn() -> BoxFuture<'static, ListResult> + Send + Sync>,
}

impl Vms {
    /// Makes a client that reads the list at an `http://` address.
    ///
    /// ```
    /// fulmarproxy::transport::vms::Vms::over_http("http://127.0.0.1:2379/vms");
    /// ```
    pub fn over_http(url: &str) -> Self {
        let client = http::client(CALL_TIMEOUT);
        let url: Arc<str> = url.into();
        Self {
            read: Arc::new(move || {
                let (client, url) = (client.clone(), url.clone());
                Box::pin(async move { http::get(&client, "VM list", &url).await })
            }),
        }
    }
}
