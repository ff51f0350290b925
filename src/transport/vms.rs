//! The platform's list of VMs.

use std::{sync::Arc, time::Duration};

use trillium_client::Client;

use crate::{error, protocol::vm_list, transport::http};

const CALL_LIMIT: Duration = Duration::from_secs(2);

/// A reader of the list.
#[derive(Clone, Debug)]
pub struct Vms {
    client: Client,
    url: Arc<str>,
}

impl Vms {
    /// Makes a reader of the list at `url`.
    ///
    /// ```
    /// fulmarproxy::transport::vms::Vms::new("http://127.0.0.1:2379/vms");
    /// ```
    pub fn new(url: &str) -> Self {
        Self {
            client: http::client(CALL_LIMIT),
            url: url.into(),
        }
    }

    /// Reads the list.
    ///
    /// # Errors
    ///
    /// [`error::Error::Http`] when the platform cannot be reached.
    pub async fn read(&self) -> Result<Vec<vm_list::Vm>, error::Error> {
        http::get(&self.client, "VM list", &self.url).await
    }
}
