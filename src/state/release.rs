//! Versions of the software that the backend servers of a service run.

use serde::{Deserialize, Serialize};

use crate::state::name;

/// A version of a service's software. What two releases of a service write in one stream does not fit
/// together.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub struct Release {
    /// Name of the service.
    pub service: name::Name,
    /// Version of its software, as the servers name it.
    pub software: name::Name,
}

impl Release {
    /// The release with this service and version.
    ///
    /// ```
    /// use fulmarproxy::state::release;
    /// assert_eq!(&*release::Release::new("model", "v1").software, "v1");
    /// ```
    pub fn new(service: impl Into<name::Name>, software: impl Into<name::Name>) -> Self {
        Self {
            service: service.into(),
            software: software.into(),
        }
    }
}
