//! Keys with revisions, conditional writes and leases.

use std::collections::BTreeMap;

use crate::protocol::kv;

/// The content of the key-value service.
#[derive(Debug, Default)]
pub struct KeyValues {
    revision: u64,
    keys: BTreeMap<Vec<u8>, kv::KeyValue>,
    events: Vec<(u64, kv::Event)>,
}

impl KeyValues {
    /// Revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    fn header(&self) -> kv::Header {
        kv::Header {
            revision: kv::Number(self.revision),
        }
    }

    /// Reads keys.
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

    /// Carries out a transaction.
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
                self.delete(req);
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
        self.keys.insert(req.key.0.clone(), kv.clone());
        let kind = String::new();
        self.events.push((self.revision, kv::Event { kind, kv }));
    }

    fn delete(&mut self, req: &kv::DeleteRequest) {
        let range = kv::RangeRequest {
            key: req.key.clone(),
            range_end: req.range_end.clone(),
        };
        for kv in self.range(&range).kvs {
            self.remove(&kv.key.0);
        }
    }

    fn remove(&mut self, key: &[u8]) {
        if let Some(mut kv) = self.keys.remove(key) {
            kv.value = kv::Bytes::default();
            kv.mod_revision = kv::Number(self.revision);
            let kind = "DELETE".to_owned();
            self.events.push((self.revision, kv::Event { kind, kv }));
        }
    }

    /// Deletes every key that lives by a lease.
    pub fn end_lease(&mut self, lease: u64) {
        let lives_by = |kv: &&kv::KeyValue| kv.lease.0 == lease;
        let keys: Vec<_> = self
            .keys
            .values()
            .filter(lives_by)
            .map(|kv| kv.key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key.0);
        }
    }

    /// Changes of a range from a revision on, oldest first.
    pub fn since(&self, watch: &kv::WatchCreate) -> Vec<(u64, kv::Event)> {
        let inside = |key: &[u8]| match &watch.range_end {
            None => key == watch.key.0,
            Some(end) => key >= &watch.key.0[..] && key < &end.0[..],
        };
        let wanted = |entry: &&(u64, kv::Event)| {
            entry.0 >= watch.start_revision.0 && inside(&entry.1.kv.key.0)
        };
        self.events.iter().filter(wanted).cloned().collect()
    }
}
