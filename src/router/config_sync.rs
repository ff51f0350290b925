//! Keeps the configuration up to date with the published one.
//!
//! Some routers of each region watch the store; the others learn of new versions from peers and
//! fetch them there or from the store.

use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use futures::StreamExt;
use metrics::counter;

use crate::{
    coordination::{config_chunks, configuration::fetch_batch, history},
    error,
    protocol::{kv, messages},
    router::{Router, gossip},
    state::{config, name, object_set},
    transport::{store, timers},
};

/// Time between two reads that find out whether a watch misses changes.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Longest delay before a lost watch is opened again; the actual delay is random.
const MAX_REOPEN_DELAY: Duration = Duration::from_secs(2);

/// Longest delay before a failed fetch is retried; the actual delay is random.
const MAX_REFETCH_DELAY: Duration = Duration::from_secs(1);

/// Longest wait for one answer of the store or a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest wait of [`wait_for_version`].
const VERSION_WAIT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two checks of [`wait_for_version`].
const VERSION_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time without an answer of the store or a peer after which the router refuses requests.
pub const MAX_ISOLATION_TIME: Duration = Duration::from_secs(3600);

/// Time for which a newer version may be known but not in force before the router is not ready.
const MAX_LAG_TIME: Duration = Duration::from_secs(10);

/// The configuration in force, with an index to look up callers.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfig {
    /// The configuration.
    pub config: config::Config,
    /// Workspace names by the lower-case digest of an API key.
    pub by_key: HashMap<String, name::Name>,
    snapshot: history::Snapshot,
}

/// State of keeping the configuration up to date.
#[derive(Debug)]
pub struct ConfigSync {
    /// Newest version that this router has heard of.
    newest_known: AtomicU64,
    /// Address of the peer that reported this version first, until it has been asked for it.
    newest_source: Mutex<Option<name::Name>>,
    /// Allows one update at a time.
    fetch_lock: smol::lock::Mutex<()>,
    history: Mutex<history::History>,
    /// Chunks of a version that are not in force yet, by digest.
    fetched: Mutex<HashMap<String, object_set::ObjectSet>>,
    fetch_batch: Mutex<fetch_batch::FetchBatch>,
    /// Time of the last answer of the store or a peer.
    last_contact: Mutex<timers::Now>,
    /// Last error of the store, shown while no configuration has been read.
    last_failure: Mutex<String>,
    /// Since when a newer version has been known without being in force.
    behind_since: Mutex<Option<timers::Now>>,
    wake_tx: async_channel::Sender<()>,
    wake_rx: async_channel::Receiver<()>,
}

impl Default for ConfigSync {
    fn default() -> Self {
        let (wake_tx, wake_rx) = async_channel::bounded(1);
        Self {
            newest_known: AtomicU64::new(0),
            newest_source: Mutex::default(),
            fetch_lock: smol::lock::Mutex::new(()),
            history: Mutex::default(),
            fetched: Mutex::default(),
            fetch_batch: Mutex::new(fetch_batch::FetchBatch::new(store::MAX_KEYS_PER_CALL)),
            last_contact: Mutex::default(),
            last_failure: Mutex::default(),
            behind_since: Mutex::default(),
            wake_tx,
            wake_rx,
        }
    }
}

/// Starts the tasks that watch the store and fetch new versions.
pub fn start(router: Arc<Router>) {
    let runtime = router.runtime.clone();
    runtime.spawn(watch_forever(router.clone()));
    runtime.spawn(async move {
        while router.config_sync.wake_rx.recv().await.is_ok() {
            fetch_newest(&router).await;
        }
    });
}

/// Notes that the store or a peer has answered.
pub fn note_contact(router: &Router) {
    *router.config_sync.last_contact.lock().unwrap() = router.runtime.timers.now();
}

/// Returns why the router is not ready because of its configuration; `None` when it is ready.
pub fn readiness(router: &Router) -> Option<String> {
    if router.config().config.version == 0 {
        let failure = router.config_sync.last_failure.lock().unwrap().clone();
        let cause = match failure.is_empty() {
            true => "nothing is published or no peer answers".to_owned(),
            false => failure,
        };
        return Some(format!("no configuration has been read yet: {cause}"));
    }
    if let Some(newer) = overdue_version(router) {
        return Some(format!("version {newer} is known, but nobody hands it out"));
    }
    is_isolated(router).then(|| {
        let seconds = MAX_ISOLATION_TIME.as_secs();
        format!("neither the store nor a peer has answered for {seconds} s")
    })
}

/// Newer version that has been known for longer than [`MAX_LAG_TIME`] without coming into force.
fn overdue_version(router: &Router) -> Option<u64> {
    let newest = router.config_sync.newest_known.load(Ordering::Relaxed);
    let behind = newest > router.config().config.version;
    let mut since = router.config_sync.behind_since.lock().unwrap();
    if !behind {
        *since = None;
        return None;
    }
    let now = router.runtime.timers.now();
    let since = *since.get_or_insert(now);
    (now.saturating_sub(since) > MAX_LAG_TIME).then_some(newest)
}

/// Whether neither the store nor a peer has answered for [`MAX_ISOLATION_TIME`].
pub fn is_isolated(router: &Router) -> bool {
    let contact = *router.config_sync.last_contact.lock().unwrap();
    router.runtime.timers.now().saturating_sub(contact) > MAX_ISOLATION_TIME
}

/// Notes a version that another member knows; has it fetched, first from `from`, if it is newer.
pub fn note_version(router: &Router, version: u64, from: Option<&name::Name>) {
    if version <= router.config().config.version {
        return;
    }
    let known = router
        .config_sync
        .newest_known
        .fetch_max(version, Ordering::Relaxed);
    if let Some(from) = from.filter(|_| version > known) {
        *router.config_sync.newest_source.lock().unwrap() = Some(from.clone());
    }
    let _ = router.config_sync.wake_tx.try_send(());
}

/// Waits until a version or a newer one is in force, for up to 2 s; returns whether it is.
pub async fn wait_for_version(router: &Router, version: u64) -> bool {
    note_version(router, version, None);
    let timers = &router.runtime.timers;
    let reached = async {
        while router.config().config.version < version {
            timers.sleep(VERSION_POLL_INTERVAL).await;
        }
    };
    timers.within(VERSION_WAIT_TIMEOUT, reached).await.is_some()
}

/// Answers a peer that asks for updates after a version; the answer is empty without any.
pub fn answer(router: &Router, after: u64) -> messages::RouterReply {
    let in_force = router.config();
    let version = in_force.config.version;
    let mut set = Vec::new();
    if version > after {
        let history = router.config_sync.history.lock().unwrap();
        let update = history.update(after, &in_force.snapshot);
        set = serde_json::to_vec(&update).unwrap_or_default();
    }
    messages::RouterReply::Config { version, set }
}

async fn watch_forever(router: Arc<Router>) {
    loop {
        if let Err(err) = watch_store(&router).await {
            tracing::warn!("config: {err}.");
            *router.config_sync.last_failure.lock().unwrap() = err.to_string();
        }
        random_delay(&router, MAX_REOPEN_DELAY).await;
    }
}

async fn random_delay(router: &Router, limit: Duration) {
    let part = router.runtime.rng().f64();
    router.runtime.timers.sleep(limit.mul_f64(part)).await;
}

/// Reads the head of the configuration, then watches it if this router is one of the watchers.
///
/// Returns when the watch ends or misses a change, or when this router is no longer a watcher.
async fn watch_store(router: &Router) -> Result<(), error::Error> {
    let (revision, mut watched) = read_head(router).await?;
    if !gossip::is_store_watcher(router) {
        return wait_unwatched(router).await;
    }
    let mut watch = router.store.watch(store::HEAD_KEY, false, revision + 1);
    loop {
        let change = router
            .runtime
            .timers
            .within(check_interval(router), watch.next());
        match change.await {
            Some(Some(change)) => watched = apply_watch_events(router, &change?, watched).await?,
            Some(None) => return Ok(()),
            None if read_head(router).await?.1 > watched => {
                counter!("fulmar_silent_watches").increment(1);
                tracing::warn!("config: the watch missed a newer version; opening it again.");
                return Ok(());
            }
            None if !gossip::is_store_watcher(router) => return Ok(()),
            None => {}
        }
    }
}

/// Waits until this router becomes a watcher, for at most one check interval per live router.
///
/// The head is then read again: the more routers there are, the less often each one reads it.
async fn wait_unwatched(router: &Router) -> Result<(), error::Error> {
    let rounds = gossip::live_routers(router).len().max(1);
    for _ in 0..rounds {
        router.runtime.timers.sleep(check_interval(router)).await;
        if gossip::is_store_watcher(router) {
            break;
        }
    }
    Ok(())
}

/// Random check interval, between 3/4 and 5/4 of [`CHECK_INTERVAL`].
fn check_interval(router: &Router) -> Duration {
    CHECK_INTERVAL.mul_f64(0.75 + 0.5 * router.runtime.rng().f64())
}

/// Reads the head and applies it; returns the store revision of the read and the version read.
async fn read_head(router: &Router) -> Result<(u64, u64), error::Error> {
    let read = router.store.list(store::HEAD_KEY);
    let read = router.runtime.timers.within(FETCH_TIMEOUT, read).await;
    let (found, revision) = read.unwrap_or_else(|| Err(no_answer("range")))?;
    note_contact(router);
    let Some(found) = found.first() else {
        return Ok((revision, 0));
    };
    let head: config::Head = kv::decode(found)?;
    apply_head(router, &head).await?;
    Ok((revision, head.version))
}

/// Applies a change of the head; returns the newest version that the watch has reported.
async fn apply_watch_events(
    router: &Router,
    change: &kv::WatchResult,
    watched: u64,
) -> Result<u64, error::Error> {
    note_contact(router);
    let written = |event: &&kv::Event| event.kind.is_empty() || event.kind == "PUT";
    let Some(event) = change.events.iter().rfind(written) else {
        return Ok(watched);
    };
    let head: config::Head = kv::decode(&event.kv)?;
    apply_head(router, &head).await?;
    Ok(watched.max(head.version))
}

/// Fetches the chunks of a newer head and puts it in force; ignores any other head.
async fn apply_head(router: &Router, head: &config::Head) -> Result<(), error::Error> {
    let _lock = router.config_sync.fetch_lock.lock().await;
    let current = router.config();
    if head.version <= current.config.version {
        return Ok(());
    }
    let known = |digest: &str| current.snapshot.chunks.contains_key(digest);
    let missing = config_chunks::missing_digests(head, known);
    fetch_chunks(router, &missing).await?;
    let fetched = std::mem::take(&mut *router.config_sync.fetched.lock().unwrap());
    let chunks = current
        .snapshot
        .collect(head, |digest| fetched.get(digest).cloned())?;
    let head = head.clone();
    activate(router, history::Snapshot { head, chunks });
    Ok(())
}

/// Fetches the missing chunks. What has arrived is kept when a call fails, and not fetched again.
async fn fetch_chunks(router: &Router, missing: &[String]) -> Result<(), error::Error> {
    let sync = &router.config_sync;
    let wanted: Vec<String> = {
        let named: HashSet<&String> = missing.iter().collect();
        let mut fetched = sync.fetched.lock().unwrap();
        fetched.retain(|digest, _| named.contains(digest));
        let is_left = |digest: &&String| !fetched.contains_key(*digest);
        missing.iter().filter(is_left).cloned().collect()
    };
    let mut left = &wanted[..];
    while !left.is_empty() {
        let size = sync.fetch_batch.lock().unwrap().size();
        let (digests, rest) = left.split_at(size.min(left.len()));
        let read = read_chunks(router, digests).await;
        sync.fetch_batch.lock().unwrap().record(read.is_ok());
        sync.fetched.lock().unwrap().extend(read?);
        left = rest;
    }
    Ok(())
}

/// Reads chunks in one call.
async fn read_chunks(
    router: &Router,
    digests: &[String],
) -> Result<HashMap<String, object_set::ObjectSet>, error::Error> {
    let key = |digest: &String| format!("{}{digest}", store::CHUNK_PREFIX);
    let keys: Vec<_> = digests.iter().map(key).collect();
    let read = router.store.get_many(&keys);
    let read = router.runtime.timers.within(FETCH_TIMEOUT, read).await;
    let found = read.unwrap_or_else(|| Err(no_answer("get")))?;
    note_contact(router);
    let mut chunks = HashMap::new();
    for digest in digests {
        if let Some(kv) = found.get(&key(digest)) {
            history::verify(digest, &kv.value.0)?;
            chunks.insert(digest.clone(), kv::decode(kv)?);
        }
    }
    Ok(chunks)
}

fn no_answer(call: &'static str) -> error::Error {
    error::Error::Store {
        call,
        message: format!("no answer within {} s", FETCH_TIMEOUT.as_secs()),
    }
}

/// Fetches until the newest known version is in force.
///
/// Asks the peer that reported the version first, then the store, then other peers.
async fn fetch_newest(router: &Router) {
    let wanted = || router.config_sync.newest_known.load(Ordering::Relaxed);
    while router.config().config.version < wanted() {
        let source = router.config_sync.newest_source.lock().unwrap().take();
        if let Some(source) = source
            && ask_peer(router, &source).await
        {
            continue;
        }
        if read_head(router).await.is_ok() && router.config().config.version >= wanted() {
            return;
        }
        if !ask_any_peer(router).await {
            random_delay(router, MAX_REFETCH_DELAY).await;
        }
    }
}

async fn ask_any_peer(router: &Router) -> bool {
    for peer in gossip::choose_peers(router) {
        if ask_peer(router, &peer).await {
            return true;
        }
    }
    false
}

/// Asks a peer for an update and applies it; returns whether the peer had one.
pub async fn ask_peer(router: &Router, peer: &name::Name) -> bool {
    let after = router.config().config.version;
    let call = messages::RouterCall::Config { after };
    let reply = (router.fleet.router)(peer.clone(), call);
    let reply = router.runtime.timers.within(FETCH_TIMEOUT, reply).await;
    let Some(Ok(messages::RouterReply::Config { version, set })) = reply else {
        return false;
    };
    note_contact(router);
    if version <= after || set.is_empty() {
        return false;
    }
    match apply_update(router, &set).await {
        Ok(taken) => taken,
        Err(err) => {
            tracing::warn!("config: peer {peer}: {err}.");
            false
        }
    }
}

async fn apply_update(router: &Router, set: &[u8]) -> Result<bool, error::Error> {
    let update = serde_json::from_slice(set).map_err(|source| error::Error::StoreValue {
        key: store::HEAD_KEY.to_owned(),
        source,
    })?;
    let _lock = router.config_sync.fetch_lock.lock().await;
    let Some(snapshot) = router.config().snapshot.apply(update)? else {
        return Ok(false);
    };
    activate(router, snapshot);
    Ok(true)
}

/// Puts a configuration in force, unless its version is not newer.
///
/// Nothing else changes the configuration in force, so its version only grows.
fn activate(router: &Router, snapshot: history::Snapshot) {
    let version = snapshot.head.version;
    let head = snapshot.head.clone();
    let in_force = Arc::new(build_indexes(snapshot));
    let mut slot = router.config.write().unwrap();
    if version <= slot.config.version {
        return;
    }
    *slot = in_force;
    drop(slot);
    router.config_sync.history.lock().unwrap().push(head);
    router
        .config_sync
        .newest_known
        .fetch_max(version, Ordering::Relaxed);
    tracing::info!("config: version {version} is in force.");
    gossip::exchange_now(router);
}

/// Joins the chunks and builds the indexes of a configuration.
fn build_indexes(snapshot: history::Snapshot) -> ActiveConfig {
    let set = config_chunks::join(snapshot.chunks.values().cloned());
    let mut by_key = HashMap::new();
    for (name, workspace) in &set.workspaces {
        for key in &workspace.keys {
            by_key.insert(key.to_ascii_lowercase(), name.clone());
        }
    }
    ActiveConfig {
        config: config::Config {
            version: snapshot.head.version,
            set: Arc::new(set),
        },
        by_key,
        snapshot,
    }
}
