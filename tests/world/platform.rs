//! The platform's key-value service and list of VMs, with their faults.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use fulmarproxy::{
    coordination::config_chunks,
    error,
    protocol::{kv, vm_list},
    standin::key_values,
    state::{config, ledger, member, name, object_set},
    transport::{store, vms},
};
use futures::{future::BoxFuture, stream};

use super::{clock, faults, links};

const CALL_LIMIT: Duration = Duration::from_secs(2);
const WATCH_POLL: Duration = Duration::from_millis(200);

/// Name of the store among the VMs.
pub const STORE: &str = "store";

/// A published version.
#[derive(Clone, Debug)]
pub struct Published {
    /// Version.
    pub version: u64,
    /// Time of the write.
    pub at: Duration,
    /// The objects.
    pub set: object_set::ObjectSet,
}

#[derive(Default)]
struct State {
    values: key_values::KeyValues,
    down: bool,
    slow: Duration,
    lost: BTreeMap<String, u32>,
    muted: BTreeSet<String>,
    stale: BTreeMap<String, key_values::KeyValues>,
    leases: BTreeMap<u64, (Duration, Duration)>,
    last_lease: u64,
    listed: Vec<(Duration, Vec<vm_list::Vm>)>,
    published: Vec<Published>,
    settled: BTreeMap<(member::Incarnation, String), u64>,
    disturbed: Duration,
}

/// The platform.
#[derive(Clone)]
pub struct Platform {
    clock: clock::Clock,
    links: links::Links,
    faults: faults::Faults,
    /// Age of the list of VMs.
    pub lag: Duration,
    state: Arc<Mutex<State>>,
}

fn failed(message: &str) -> error::Error {
    error::Error::Store {
        call: "carry",
        message: message.to_owned(),
    }
}

/// Raises what closed holders used by the shares that a transaction drops.
fn write_off_twice(req: &mut kv::TxnRequest, before: &[(String, ledger::Bucket)]) {
    for op in &mut req.success {
        let kv::Operation::RequestPut(put) = op else {
            continue;
        };
        let key = String::from_utf8_lossy(&put.key.0);
        let Some((_, old)) = before.iter().find(|(other, _)| *other == key) else {
            continue;
        };
        let mut bucket: ledger::Bucket = serde_json::from_slice(&put.value.0).unwrap();
        for (budget, _, share) in dropped(old, &bucket) {
            let entry = bucket.entries.entry(budget).or_default();
            entry.closed += i64::try_from(share.granted).unwrap();
        }
        put.value = kv::Bytes(serde_json::to_vec(&bucket).unwrap());
    }
}

/// Shares that one state of a bucket has and the next has not.
fn dropped(
    before: &ledger::Bucket,
    after: &ledger::Bucket,
) -> Vec<(name::Name, member::Incarnation, ledger::Share)> {
    let mut dropped = Vec::new();
    for (budget, entry) in &before.entries {
        let kept = after.entries.get(budget).cloned().unwrap_or_default();
        let gone = entry.shares.iter();
        let gone = gone.filter(|(holder, _)| !kept.shares.contains_key(holder));
        dropped.extend(gone.map(|(holder, share)| (budget.clone(), *holder, share.clone())));
    }
    dropped
}

impl Platform {
    /// Makes an empty platform.
    pub fn new(clock: clock::Clock, links: links::Links, faults: faults::Faults) -> Self {
        Self {
            clock,
            links,
            faults,
            lag: Duration::from_secs(1),
            state: Arc::default(),
        }
    }

    /// Begins or ends an outage.
    pub fn set_down(&self, down: bool) {
        let mut state = self.state.lock().unwrap();
        state.down = down;
        state.disturbed = self.clock.now();
    }

    /// Adds a delay to every call.
    pub fn set_slow(&self, delay: Duration) {
        let mut state = self.state.lock().unwrap();
        state.slow = delay;
        state.disturbed = self.clock.now();
    }

    /// Loses the next replies of writes by a VM, after the writes took effect.
    pub fn lose(&self, vm: &str, count: u32) {
        *self
            .state
            .lock()
            .unwrap()
            .lost
            .entry(vm.to_owned())
            .or_default() += count;
    }

    /// Silences the watches of a VM while its calls go on.
    pub fn mute(&self, vm: &str) {
        self.state.lock().unwrap().muted.insert(vm.to_owned());
    }

    /// Ends every fault.
    pub fn heal_all(&self) {
        let mut state = self.state.lock().unwrap();
        state.down = false;
        state.slow = Duration::ZERO;
        state.lost.clear();
        state.muted.clear();
        state.disturbed = self.clock.now();
    }

    /// Whether calls are answered in good time.
    pub fn is_well(&self) -> bool {
        let state = self.state.lock().unwrap();
        !state.down && state.slow < Duration::from_millis(500)
    }

    /// Time of the last change of the service's health.
    pub fn disturbed(&self) -> Duration {
        self.state.lock().unwrap().disturbed
    }

    /// Visits everything published, oldest first.
    pub fn visit_published(&self, look: impl FnMut(&Published)) {
        self.state.lock().unwrap().published.iter().for_each(look);
    }

    /// Tokens of a holder's share that the ledger counted as used when it dropped the share; never
    /// more than the share.
    pub fn settled(&self, holder: member::Incarnation, budget: &str) -> u64 {
        let state = self.state.lock().unwrap();
        let share = state.settled.get(&(holder, budget.to_owned()));
        share.copied().unwrap_or(0)
    }

    /// Values below a prefix, without faults.
    pub fn peek<T: serde::de::DeserializeOwned>(&self, prefix: &str) -> Vec<T> {
        let range = kv::RangeRequest {
            key: prefix.into(),
            range_end: Some(kv::prefix_end(prefix)),
        };
        let state = self.state.lock().unwrap();
        let kvs = state.values.range(&range).kvs;
        kvs.iter().map(|kv| kv::decode(kv).unwrap()).collect()
    }

    /// The service as a VM reaches it.
    pub fn store(&self, vm: &str) -> store::Store {
        let [carries, opens] = [self.clone(), self.clone()];
        let [caller, watcher] = [vm.to_owned(), vm.to_owned()];
        store::Store {
            execute: Arc::new(move |call| {
                let (platform, vm) = (carries.clone(), caller.clone());
                Box::pin(async move { platform.carry(&vm, call).await })
            }),
            open_watch: Arc::new(move |watch| opens.open(watcher.clone(), watch)),
        }
    }

    async fn carry(&self, vm: &str, call: store::Call) -> Result<store::Reply, error::Error> {
        let connection = self.links.connect(vm, STORE);
        let (slow, down) = {
            let state = self.state.lock().unwrap();
            (state.slow, state.down)
        };
        let is_put = |op: &kv::Operation| matches!(op, kv::Operation::RequestPut(_));
        let is_write = match &call {
            store::Call::Txn(txn) => txn.success.iter().any(is_put),
            _ => false,
        };
        if down || !connection.forth().await {
            self.clock.sleep(CALL_LIMIT).await;
            return Err(failed("no answer"));
        }
        self.clock.sleep(slow.min(CALL_LIMIT) / 2).await;
        let reply = self.apply(vm, call);
        self.clock.sleep(slow.min(CALL_LIMIT) / 2).await;
        let lost = is_write && self.loses(vm);
        if lost || slow >= CALL_LIMIT || !connection.back().await {
            self.clock.sleep(CALL_LIMIT).await;
            return Err(failed("no answer"));
        }
        Ok(reply)
    }

    fn loses(&self, vm: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        let Some(left) = state.lost.get_mut(vm).filter(|left| **left > 0) else {
            return false;
        };
        *left -= 1;
        true
    }

    fn apply(&self, vm: &str, call: store::Call) -> store::Reply {
        let now = self.clock.now();
        let mut guard = self.state.lock().unwrap();
        let state = &mut *guard;
        state.expire(now);
        match call {
            store::Call::Range(req) => {
                let values = state.stale.get(vm).unwrap_or(&state.values);
                store::Reply::Range(values.range(&req))
            }
            store::Call::Txn(mut req) => {
                if self.faults.is_on(faults::Fault::IgnoredCompares) {
                    req.compare.clear();
                }
                let buckets = state.buckets(&req);
                if self.faults.is_on(faults::Fault::DoubleWriteOff) {
                    write_off_twice(&mut req, &buckets);
                }
                let reply = state.values.txn(&req);
                state.note_settled(buckets);
                state.note_publication(now);
                store::Reply::Txn(reply)
            }
            store::Call::LeaseGrant(req) => {
                state.last_lease += 1;
                let ttl = Duration::from_secs(req.ttl.0);
                state.leases.insert(state.last_lease, (now + ttl, ttl));
                store::Reply::Lease(kv::LeaseResponse {
                    id: kv::Number(state.last_lease),
                    ttl: req.ttl,
                })
            }
            store::Call::LeaseKeepAlive(req) => {
                let lease = state.leases.get_mut(&req.id.0);
                let ttl = lease.map_or(0, |(until, ttl)| {
                    *until = now + *ttl;
                    ttl.as_secs()
                });
                store::Reply::Lease(kv::LeaseResponse {
                    id: req.id,
                    ttl: kv::Number(ttl),
                })
            }
        }
    }

    fn open(&self, vm: String, watch: kv::WatchCreate) -> store::Watch {
        let mut watch = watch;
        if watch.start_revision.0 == 0 {
            let revision = self.state.lock().unwrap().values.revision();
            watch.start_revision = kv::Number(revision + 1);
        }
        let connection = self.links.connect(&vm, STORE);
        let platform = self.clone();
        let first = (platform, connection, watch, vm);
        Box::pin(stream::unfold(
            first,
            |(platform, connection, mut watch, vm)| async move {
                loop {
                    platform.clock.sleep(WATCH_POLL).await;
                    let muted = platform.state.lock().unwrap().muted.contains(&vm);
                    if muted || !connection.back().await {
                        continue;
                    }
                    if platform.state.lock().unwrap().down {
                        return None;
                    }
                    let result = platform.changes(&vm, &mut watch);
                    if let Some(result) = result {
                        return Some((Ok(result), (platform, connection, watch, vm)));
                    }
                }
            },
        ))
    }

    fn changes(&self, vm: &str, watch: &mut kv::WatchCreate) -> Option<kv::WatchResult> {
        let now = self.clock.now();
        let mut state = self.state.lock().unwrap();
        if state.stale.contains_key(vm) {
            return None;
        }
        state.expire(now);
        let events = state.values.changes_since(watch).ok()?;
        let last = events.last()?.0;
        watch.start_revision = kv::Number(last + 1);
        let header = kv::Header {
            revision: kv::Number(last),
        };
        let events = events.into_iter().map(|(_, event)| event).collect();
        Some(kv::WatchResult { header, events })
    }

    /// Serves one VM old values from now on.
    pub fn hold_back(&self, vm: &str) {
        let mut state = self.state.lock().unwrap();
        let mut old = key_values::KeyValues::default();
        let all = kv::RangeRequest {
            key: "".into(),
            range_end: Some(kv::Bytes(vec![255])),
        };
        for kv in state.values.range(&all).kvs {
            let put = kv::PutRequest {
                key: kv.key,
                value: kv.value,
                lease: kv.lease,
            };
            old.txn(&kv::TxnRequest {
                success: vec![kv::Operation::RequestPut(put)],
                ..Default::default()
            });
        }
        state.stale.insert(vm.to_owned(), old);
    }

    /// Writes a new list of VMs.
    pub fn list(&self, vms: Vec<vm_list::Vm>) {
        let now = self.clock.now();
        self.state.lock().unwrap().listed.push((now, vms));
    }

    /// The list as a VM reads it.
    pub fn vms(&self, vm: &str) -> vms::Vms {
        let (platform, vm) = (self.clone(), vm.to_owned());
        vms::Vms {
            read: Arc::new(move || platform.clone().read_list(vm.clone())),
        }
    }

    fn read_list(self, vm: String) -> BoxFuture<'static, Result<Vec<vm_list::Vm>, error::Error>> {
        Box::pin(async move {
            let connection = self.links.connect(&vm, STORE);
            let down = self.state.lock().unwrap().down;
            if down || !connection.forth().await || !connection.back().await {
                self.clock.sleep(CALL_LIMIT).await;
                return Err(failed("no list"));
            }
            let now = self.clock.now();
            let state = self.state.lock().unwrap();
            let old = |entry: &&(Duration, Vec<vm_list::Vm>)| {
                entry.0 + self.lag <= now || entry.0.is_zero()
            };
            let entry = state.listed.iter().rev().find(old);
            Ok(entry.map(|entry| entry.1.clone()).unwrap_or_default())
        })
    }
}

impl State {
    fn expire(&mut self, now: Duration) {
        let is_due =
            |(id, (until, _)): (&u64, &(Duration, Duration))| (*until <= now).then_some(*id);
        let due: Vec<_> = self.leases.iter().filter_map(is_due).collect();
        for lease in due {
            self.leases.remove(&lease);
            self.values.revoke_lease(lease);
        }
    }

    fn read<T: serde::de::DeserializeOwned>(&self, key: &str) -> Option<T> {
        let range = kv::RangeRequest {
            key: key.into(),
            range_end: None,
        };
        let kvs = self.values.range(&range).kvs;
        kvs.first().and_then(|kv| kv::decode(kv).ok())
    }

    /// Buckets of the ledger that a transaction may write, as they are now.
    fn buckets(&self, req: &kv::TxnRequest) -> Vec<(String, ledger::Bucket)> {
        let keys = req.success.iter().filter_map(|op| match op {
            kv::Operation::RequestPut(put) => Some(String::from_utf8_lossy(&put.key.0)),
            _ => None,
        });
        let ours = keys.filter(|key| key.starts_with(store::LEDGER_PREFIX));
        ours.filter_map(|key| Some((key.to_string(), self.read(&key)?)))
            .collect()
    }

    fn note_settled(&mut self, before: Vec<(String, ledger::Bucket)>) {
        for (key, bucket) in before {
            let after: ledger::Bucket = self.read(&key).unwrap_or_default();
            for (budget, holder, share) in dropped(&bucket, &after) {
                let closed = |bucket: &ledger::Bucket| {
                    let entry = bucket.entries.get(&budget);
                    entry.map_or(0, |entry| entry.closed)
                };
                let used = u64::try_from(closed(&after) - closed(&bucket)).unwrap_or(0);
                let id = (holder, budget.to_string());
                self.settled.insert(id, used.min(share.granted));
            }
        }
    }

    fn note_publication(&mut self, at: Duration) {
        let Some(head) = self.read::<config::Head>(store::HEAD_KEY) else {
            return;
        };
        if self
            .published
            .last()
            .is_some_and(|last| last.version == head.version)
        {
            return;
        }
        let key = |digest: &String| format!("{}{digest}", store::CHUNK_PREFIX);
        let chunks = head
            .chunks
            .values()
            .filter_map(|digest| self.read(&key(digest)));
        let set = config_chunks::join(chunks.collect::<Vec<_>>());
        self.published.push(Published {
            version: head.version,
            at,
            set,
        });
    }
}
