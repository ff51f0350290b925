//! Simulates the platform's key-value service and its list of VMs, with their faults.

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

/// Time after which a caller gives up an unanswered call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which a watch looks for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Name of the store in links between VMs.
pub const STORE: &str = "store";

/// A published configuration version.
#[derive(Clone, Debug)]
pub struct Published {
    /// Version.
    pub version: u64,
    /// Time of the write.
    pub at: Duration,
    /// Objects of the configuration.
    pub set: object_set::ObjectSet,
}

#[derive(Default)]
struct State {
    values: key_values::KeyValues,
    down: bool,
    /// Latency added to each call.
    slow: Duration,
    /// Number of the next replies to writes that are lost, by VM.
    lost_replies: BTreeMap<String, u32>,
    /// VMs whose watches deliver nothing.
    muted_watches: BTreeSet<String>,
    /// Old values that are served for good, by VM.
    stale_values: BTreeMap<String, key_values::KeyValues>,
    /// Expiry and time to live by lease.
    leases: BTreeMap<u64, (Duration, Duration)>,
    last_lease: u64,
    /// Every version of the list of VMs, with the time of its write.
    vm_lists: Vec<(Duration, Vec<vm_list::Vm>)>,
    published: Vec<Published>,
    /// Net tokens that the ledger counted for closed holders, by holder and budget.
    net_taken: BTreeMap<(member::Incarnation, String), u64>,
    /// Time of the last change of the store's health.
    disturbed_at: Duration,
}

/// A handle to the simulated platform.
#[derive(Clone)]
pub struct Platform {
    clock: clock::Clock,
    links: links::Links,
    faults: faults::Faults,
    /// Delay after which a new list of VMs is visible to its readers.
    pub list_lag: Duration,
    state: Arc<Mutex<State>>,
}

fn store_error(message: &str) -> error::Error {
    error::Error::Store {
        call: "carry",
        message: message.to_owned(),
    }
}

/// Adds the shares that a transaction drops once more to the tokens used by closed holders.
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
        for (budget, _, share) in dropped_shares(old, &bucket) {
            let entry = bucket.entries.entry(budget).or_default();
            entry.closed += i64::try_from(share.granted).unwrap();
        }
        put.value = kv::Bytes(serde_json::to_vec(&bucket).unwrap());
    }
}

/// Shares of a ledger bucket that are missing from its next state.
fn dropped_shares(
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
    /// Creates a platform with an empty store.
    pub fn new(clock: clock::Clock, links: links::Links, faults: faults::Faults) -> Self {
        Self {
            clock,
            links,
            faults,
            list_lag: Duration::from_secs(1),
            state: Arc::default(),
        }
    }

    /// Starts or ends an outage of the store and the list of VMs.
    pub fn set_down(&self, down: bool) {
        let mut state = self.state.lock().unwrap();
        state.down = down;
        state.disturbed_at = self.clock.now();
    }

    /// Sets the latency that is added to every call.
    pub fn set_slow(&self, delay: Duration) {
        let mut state = self.state.lock().unwrap();
        state.slow = delay;
        state.disturbed_at = self.clock.now();
    }

    /// Loses the replies to a VM's next writes, after the writes took effect.
    pub fn lose_replies(&self, vm: &str, count: u32) {
        *self
            .state
            .lock()
            .unwrap()
            .lost_replies
            .entry(vm.to_owned())
            .or_default() += count;
    }

    /// Stops the watches of a VM from delivering events, while its calls are answered.
    pub fn mute_watches(&self, vm: &str) {
        self.state
            .lock()
            .unwrap()
            .muted_watches
            .insert(vm.to_owned());
    }

    /// Ends all faults except the serving of stale values.
    pub fn heal_all(&self) {
        let mut state = self.state.lock().unwrap();
        state.down = false;
        state.slow = Duration::ZERO;
        state.lost_replies.clear();
        state.muted_watches.clear();
        state.disturbed_at = self.clock.now();
    }

    /// Whether the store is up and answers within half a second.
    pub fn is_healthy(&self) -> bool {
        let state = self.state.lock().unwrap();
        !state.down && state.slow < Duration::from_millis(500)
    }

    /// Time of the last change of the store's health.
    pub fn disturbed_at(&self) -> Duration {
        self.state.lock().unwrap().disturbed_at
    }

    /// Visits every published configuration, oldest first.
    pub fn visit_published(&self, visitor: impl FnMut(&Published)) {
        self.state
            .lock()
            .unwrap()
            .published
            .iter()
            .for_each(visitor);
    }

    /// Net tokens that a holder took out of the ledger, as counted when its share was dropped; at
    /// most the share.
    pub fn net_taken(&self, holder: member::Incarnation, budget: &str) -> u64 {
        let state = self.state.lock().unwrap();
        let share = state.net_taken.get(&(holder, budget.to_owned()));
        share.copied().unwrap_or(0)
    }

    /// Decoded values below a prefix, read without faults or latency.
    pub fn read_values<T: serde::de::DeserializeOwned>(&self, prefix: &str) -> Vec<T> {
        let range = kv::RangeRequest {
            key: prefix.into(),
            range_end: Some(kv::prefix_end(prefix)),
        };
        let state = self.state.lock().unwrap();
        let kvs = state.values.range(&range).kvs;
        kvs.iter().map(|kv| kv::decode(kv).unwrap()).collect()
    }

    /// The store as a VM reaches it, over its link and with the VM's faults.
    pub fn store(&self, vm: &str) -> store::Store {
        let [call_platform, watch_platform] = [self.clone(), self.clone()];
        let [caller, watcher] = [vm.to_owned(), vm.to_owned()];
        store::Store {
            execute: Arc::new(move |call| {
                let (platform, vm) = (call_platform.clone(), caller.clone());
                Box::pin(async move { platform.execute(&vm, call).await })
            }),
            open_watch: Arc::new(move |watch| watch_platform.open_watch(watcher.clone(), watch)),
        }
    }

    /// Executes a call; half of the added latency passes before it takes effect, half after.
    async fn execute(&self, vm: &str, call: store::Call) -> Result<store::Reply, error::Error> {
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
        if down || !connection.send_forward().await {
            self.clock.sleep(CALL_TIMEOUT).await;
            return Err(store_error("no answer"));
        }
        self.clock.sleep(slow.min(CALL_TIMEOUT) / 2).await;
        let reply = self.apply(vm, call);
        self.clock.sleep(slow.min(CALL_TIMEOUT) / 2).await;
        let lost = is_write && self.take_lost_reply(vm);
        if lost || slow >= CALL_TIMEOUT || !connection.send_back().await {
            self.clock.sleep(CALL_TIMEOUT).await;
            return Err(store_error("no answer"));
        }
        Ok(reply)
    }

    /// Whether a VM's next reply is to be lost; counts it.
    fn take_lost_reply(&self, vm: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        let Some(left) = state.lost_replies.get_mut(vm).filter(|left| **left > 0) else {
            return false;
        };
        *left -= 1;
        true
    }

    fn apply(&self, vm: &str, call: store::Call) -> store::Reply {
        let now = self.clock.now();
        let mut guard = self.state.lock().unwrap();
        let state = &mut *guard;
        state.expire_leases(now);
        match call {
            store::Call::Range(req) => {
                let values = state.stale_values.get(vm).unwrap_or(&state.values);
                store::Reply::Range(values.range(&req))
            }
            store::Call::Txn(mut req) => {
                if self.faults.is_on(faults::Fault::IgnoredCompares) {
                    req.compare.clear();
                }
                let buckets = state.written_buckets(&req);
                if self.faults.is_on(faults::Fault::DoubleWriteOff) {
                    write_off_twice(&mut req, &buckets);
                }
                let reply = state.values.txn(&req);
                state.record_net_taken(buckets);
                state.record_publication(now);
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

    fn open_watch(&self, vm: String, watch: kv::WatchCreate) -> store::Watch {
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
                    platform.clock.sleep(WATCH_POLL_INTERVAL).await;
                    let muted = platform.state.lock().unwrap().muted_watches.contains(&vm);
                    if muted || !connection.send_back().await {
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

    /// Events since the watch's revision, if there are any.
    fn changes(&self, vm: &str, watch: &mut kv::WatchCreate) -> Option<kv::WatchResult> {
        let now = self.clock.now();
        let mut state = self.state.lock().unwrap();
        if state.stale_values.contains_key(vm) {
            return None;
        }
        state.expire_leases(now);
        let events = state.values.changes_since(watch).ok()?;
        let last = events.last()?.0;
        watch.start_revision = kv::Number(last + 1);
        let header = kv::Header {
            revision: kv::Number(last),
        };
        let events = events.into_iter().map(|(_, event)| event).collect();
        Some(kv::WatchResult { header, events })
    }

    /// Serves a VM the present values from now on, without later changes.
    pub fn serve_stale(&self, vm: &str) {
        let mut state = self.state.lock().unwrap();
        let mut old = key_values::KeyValues::default();
        // From the first key to beyond the last one.
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
        state.stale_values.insert(vm.to_owned(), old);
    }

    /// Writes a new list of VMs, which readers see after `list_lag`.
    pub fn write_vm_list(&self, vms: Vec<vm_list::Vm>) {
        let now = self.clock.now();
        self.state.lock().unwrap().vm_lists.push((now, vms));
    }

    /// The list of VMs as a VM reads it.
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
            if down || !connection.send_forward().await || !connection.send_back().await {
                self.clock.sleep(CALL_TIMEOUT).await;
                return Err(store_error("no list"));
            }
            let now = self.clock.now();
            let state = self.state.lock().unwrap();
            // The first list is visible at once.
            let old = |entry: &&(Duration, Vec<vm_list::Vm>)| {
                entry.0 + self.list_lag <= now || entry.0.is_zero()
            };
            let entry = state.vm_lists.iter().rev().find(old);
            Ok(entry.map(|entry| entry.1.clone()).unwrap_or_default())
        })
    }
}

impl State {
    fn expire_leases(&mut self, now: Duration) {
        let is_due =
            |(id, (until, _)): (&u64, &(Duration, Duration))| (*until <= now).then_some(*id);
        let due: Vec<_> = self.leases.iter().filter_map(is_due).collect();
        for lease in due {
            self.leases.remove(&lease);
            self.values.revoke_lease(lease);
        }
    }

    fn read_value<T: serde::de::DeserializeOwned>(&self, key: &str) -> Option<T> {
        let range = kv::RangeRequest {
            key: key.into(),
            range_end: None,
        };
        let kvs = self.values.range(&range).kvs;
        kvs.first().and_then(|kv| kv::decode(kv).ok())
    }

    /// Ledger buckets that a transaction may write, as they are before it.
    fn written_buckets(&self, req: &kv::TxnRequest) -> Vec<(String, ledger::Bucket)> {
        let keys = req.success.iter().filter_map(|op| match op {
            kv::Operation::RequestPut(put) => Some(String::from_utf8_lossy(&put.key.0)),
            _ => None,
        });
        let ledger_keys = keys.filter(|key| key.starts_with(store::LEDGER_PREFIX));
        ledger_keys
            .filter_map(|key| Some((key.to_string(), self.read_value(&key)?)))
            .collect()
    }

    /// Records the net tokens that the ledger counted for the shares that a transaction dropped.
    fn record_net_taken(&mut self, before: Vec<(String, ledger::Bucket)>) {
        for (key, bucket) in before {
            let after: ledger::Bucket = self.read_value(&key).unwrap_or_default();
            for (budget, holder, share) in dropped_shares(&bucket, &after) {
                let closed = |bucket: &ledger::Bucket| {
                    let entry = bucket.entries.get(&budget);
                    entry.map_or(0, |entry| entry.closed)
                };
                let used = u64::try_from(closed(&after) - closed(&bucket)).unwrap_or(0);
                let id = (holder, budget.to_string());
                self.net_taken.insert(id, used.min(share.granted));
            }
        }
    }

    /// Records the current configuration if its version is new.
    fn record_publication(&mut self, at: Duration) {
        let Some(head) = self.read_value::<config::Head>(store::HEAD_KEY) else {
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
            .filter_map(|digest| self.read_value(&key(digest)));
        let set = config_chunks::join(chunks.collect::<Vec<_>>());
        self.published.push(Published {
            version: head.version,
            at,
            set,
        });
    }
}
