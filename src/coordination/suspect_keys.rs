//! Keys by which requests are recognised that may crash backend servers.

use crate::coordination::crashes;

/// Keys by which a request is recognised: those of the parts of its prompt that others may share, in
/// order, and that of the whole request.
///
/// ```
/// use fulmarproxy::coordination::suspect_keys;
/// let keys = |whole| suspect_keys::Keys::new("model", [1, 2], whole);
/// assert_eq!(keys(7).as_slice().len(), 3);
/// assert_eq!(keys(7).as_slice()[..2], keys(8).as_slice()[..2]);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Keys {
    service: u64,
    keys: Vec<u64>,
}

impl Keys {
    /// Keys of a request to a service. `shared_parts` are the ids of the parts, `whole` the
    /// fingerprint of the request.
    pub fn new(service: &str, shared_parts: impl IntoIterator<Item = u64>, whole: u64) -> Self {
        let key = |part: u64| crashes::fingerprint(service, &[&part.to_le_bytes()]);
        let mut keys: Vec<u64> = Vec::new();
        for part in shared_parts {
            if !keys.contains(&key(part)) {
                keys.push(key(part));
            }
        }
        keys.push(whole);
        Self {
            service: crashes::fingerprint(service, &[]),
            keys,
        }
    }

    /// The keys, that of the whole request last.
    pub fn as_slice(&self) -> &[u64] {
        &self.keys
    }

    /// Number that stands for the service.
    pub fn service(&self) -> u64 {
        self.service
    }

    /// The key of the whole request.
    pub fn whole(&self) -> u64 {
        self.keys.last().copied().unwrap_or_default()
    }

    /// The keys, the most specific one first, each with the number of keys that are more specific.
    pub fn with_distances(&self) -> impl Iterator<Item = (u64, usize)> + '_ {
        let keys = self.keys.iter().rev().enumerate();
        keys.map(|(distance, key)| (*key, distance))
    }
}
