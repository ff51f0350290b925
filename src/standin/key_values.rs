//! In-memory key-value store with revisions, conditional writes, leases and a bounded history.

use std::collections::{BTreeMap, VecDeque};

use crate::protocol::kv;

/// Maximum total size of the values in the history, in bytes.
const MAX_HISTORY_BYTES: usize = 64 << 20;

/// Default number of changes that the history keeps.
pub const DEFAULT_HISTORY_CHANGES: usize = 10_000;

/// A change of one key, with the item that it replaced.
#[derive(Clone, Debug)]
struct Change {
    revision: u64,
    event: kv::Event,
    previous: Option<kv::KeyValue>,
}

impl Change {
    /// Size of the values in this change.
    fn bytes(&self) -> usize {
        let previous = self.previous.as_ref().map_or(0, |kv| kv.value.0.len());
        previous + self.event.kv.value.0.len()
    }
}

/// Error: the history before this revision has been discarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Compacted(pub u64);

/// Keys, values and history of the store.
#[derive(Debug)]
pub struct KeyValues {
    revision: u64,
    keys: BTreeMap<Vec<u8>, kv::KeyValue>,
    history: VecDeque<Change>,
    history_limit: usize,
    history_bytes: usize,
    /// Revision of the last change that was discarded from the history; 0 for none.
    compacted_revision: u64,
}

impl Default for KeyValues {
    fn default() -> Self {
        Self::new(DEFAULT_HISTORY_CHANGES)
    }
}

impl KeyValues {
    /// Creates an empty store that keeps its last `history_limit` changes.
    pub fn new(history_limit: usize) -> Self {
        Self {
            revision: 0,
            keys: BTreeMap::new(),
            history: VecDeque::new(),
            history_limit,
            history_bytes: 0,
            compacted_revision: 0,
        }
    }

    /// Revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    fn header(&self) -> kv::Header {
        kv::Header {
            revision: kv::Number(self.revision),
        }
    }

    /// Reads one key or a range of keys.
    ///
    /// ```
    /// let values = fulmarproxy::standin::key_values::KeyValues::default();
    /// assert!(values.range(&Default::default()).kvs.is_empty());
    /// ```
    pub fn range(&self, req: &kv::RangeRequest) -> kv::RangeResponse {
        let kvs = match &req.range_end {
            None => self.keys.get(&req.key.0).cloned().into_iter().collect(),
            Some(end) => {
                let within = self.keys.range(req.key.0.clone()..end.0.clone());
                within.map(|(_, kv)| kv.clone()).collect()
            }
        };
        kv::RangeResponse {
            header: self.header(),
            kvs,
        }
    }

    /// Reads keys as they were `age` revisions ago. When the history does not go back that far,
    /// reads them as they were at the earliest revision that it can restore.
    ///
    /// Starts from the current items and undoes the later changes, newest first.
    pub fn stale_range(&self, req: &kv::RangeRequest, age: u64) -> kv::RangeResponse {
        let revision = self
            .revision
            .saturating_sub(age)
            .max(self.compacted_revision);
        let kvs = self.range(req).kvs;
        let mut past: BTreeMap<_, _> = kvs.into_iter().map(|kv| (kv.key.0.clone(), kv)).collect();
        let later = self.history.iter().rev();
        let later = later.take_while(|change| change.revision > revision);
        for change in later.filter(|change| range_contains(req, &change.event.kv.key.0)) {
            let key = change.event.kv.key.0.clone();
            match &change.previous {
                Some(previous) => past.insert(key, previous.clone()),
                None => past.remove(&key),
            };
        }
        kv::RangeResponse {
            header: kv::Header {
                revision: kv::Number(revision),
            },
            kvs: past.into_values().collect(),
        }
    }

    /// Executes a transaction. All of its changes get the same revision.
    pub fn txn(&mut self, req: &kv::TxnRequest) -> kv::TxnResponse {
        let holds = |compare: &kv::Compare| {
            let found = self.keys.get(&compare.key.0);
            found.map_or(0, |kv| kv.mod_revision.0) == compare.mod_revision.0
        };
        let succeeded = req.compare.iter().all(holds);
        let operations = if succeeded {
            &req.success
        } else {
            &req.failure
        };
        let changes = |op: &kv::Operation| !matches!(op, kv::Operation::RequestRange(_));
        if operations.iter().any(changes) {
            self.revision += 1;
        }
        let responses = operations.iter().map(|op| self.apply(op)).collect();
        kv::TxnResponse {
            header: self.header(),
            succeeded,
            responses,
        }
    }

    fn apply(&mut self, operation: &kv::Operation) -> kv::OperationResponse {
        match operation {
            kv::Operation::RequestRange(req) => kv::OperationResponse {
                response_range: Some(self.range(req)),
            },
            kv::Operation::RequestPut(req) => {
                self.put(req);
                kv::OperationResponse::default()
            }
            kv::Operation::RequestDeleteRange(req) => {
                self.delete_range(req);
                kv::OperationResponse::default()
            }
        }
    }

    fn put(&mut self, req: &kv::PutRequest) {
        let revision = kv::Number(self.revision);
        let created = self
            .keys
            .get(&req.key.0)
            .map_or(revision, |kv| kv.create_revision);
        let kv = kv::KeyValue {
            key: req.key.clone(),
            value: req.value.clone(),
            create_revision: created,
            mod_revision: revision,
            lease: req.lease,
        };
        let previous = self.keys.insert(req.key.0.clone(), kv.clone());
        let kind = String::new();
        self.record_change(kv::Event { kind, kv }, previous);
    }

    /// Appends a change to the history and discards the oldest ones beyond its limits.
    fn record_change(&mut self, event: kv::Event, previous: Option<kv::KeyValue>) {
        let change = Change {
            revision: self.revision,
            event,
            previous,
        };
        self.history_bytes += change.bytes();
        self.history.push_back(change);
        while self.history.len() > self.history_limit || self.history_bytes > MAX_HISTORY_BYTES {
            let Some(oldest) = self.history.pop_front() else {
                return;
            };
            self.history_bytes -= oldest.bytes();
            self.compacted_revision = oldest.revision;
        }
    }

    fn delete_range(&mut self, req: &kv::DeleteRequest) {
        let range = kv::RangeRequest {
            key: req.key.clone(),
            range_end: req.range_end.clone(),
        };
        for kv in self.range(&range).kvs {
            self.delete_key(&kv.key.0);
        }
    }

    fn delete_key(&mut self, key: &[u8]) {
        if let Some(mut kv) = self.keys.remove(key) {
            let previous = kv.clone();
            kv.value = kv::Bytes::default();
            kv.mod_revision = kv::Number(self.revision);
            let kind = "DELETE".to_owned();
            self.record_change(kv::Event { kind, kv }, Some(previous));
        }
    }

    /// Deletes all keys that are attached to a lease.
    pub fn revoke_lease(&mut self, lease: u64) {
        let is_attached = |kv: &&kv::KeyValue| kv.lease.0 == lease;
        let keys: Vec<_> = self
            .keys
            .values()
            .filter(is_attached)
            .map(|kv| kv.key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.delete_key(&key.0);
        }
    }

    /// Changes in the watched range from its start revision on, oldest first.
    ///
    /// # Errors
    ///
    /// [`Compacted`] when changes from the start revision on have been discarded.
    pub fn changes_since(
        &self,
        watch: &kv::WatchCreate,
    ) -> Result<Vec<(u64, kv::Event)>, Compacted> {
        let start = watch.start_revision.0;
        if start <= self.compacted_revision {
            return Err(Compacted(self.compacted_revision + 1));
        }
        let range = kv::RangeRequest {
            key: watch.key.clone(),
            range_end: watch.range_end.clone(),
        };
        let first = self.history.partition_point(|c| c.revision < start);
        let changes = self.history.range(first..);
        let wanted = changes.filter(|c| range_contains(&range, &c.event.kv.key.0));
        Ok(wanted.map(|c| (c.revision, c.event.clone())).collect())
    }
}

/// Whether a key is in the range of a request.
fn range_contains(range: &kv::RangeRequest, key: &[u8]) -> bool {
    match &range.range_end {
        None => key == range.key.0,
        Some(end) => key >= &range.key.0[..] && key < &end.0[..],
    }
}
