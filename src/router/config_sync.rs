//! Follows the published configuration: by a watch of the store, or from peers.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use futures::StreamExt;
use metrics::counter;

use crate::{
    coordination::{history, publish},
    error,
    protocol::{kv, messages},
    router::{Router, gossip},
    state::{config, name, object_set},
    transport::{store, timers},
};

/// Period of the read that notices a silent watch.
const CHECK_PERIOD: Duration = Duration::from_secs(5);

/// Longest pause before a lost watch is opened again; the pause is a random part of it.
const REOPEN_LIMIT: Duration = Duration::from_secs(2);

/// Longest pause before a failed fetch is repeated; the pause is a random part of it.
const REFETCH_LIMIT: Duration = Duration::from_secs(1);

/// Longest wait for one answer of the store or a peer.
const FETCH_LIMIT: Duration = Duration::from_secs(3);

/// Longest wait of [`wait_for_version`].
const VERSION_WAIT_LIMIT: Duration = Duration::from_secs(2);

const VERSION_WAIT_POLL: Duration = Duration::from_millis(20);

/// Time without store and peers after which a router takes no more requests.
pub const ISOLATION_LIMIT: Duration = Duration::from_secs(3600);

/// Time that a newer version may be known before the router gets no requests.
const LAG_LIMIT: Duration = Duration::from_secs(10);

/// A configuration and the indexes that requests are looked up by.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfig {
    /// The configuration.
    pub config: config::Config,
    /// Workspaces by the digest of a caller key.
    pub by_key: HashMap<String, name::Name>,
    snapshot: history::Snapshot,
}

/// What following remembers.
#[derive(Debug)]
pub struct ConfigSync {
    newest: AtomicU64,
    source: Mutex<Option<name::Name>>,
    fetching: smol::lock::Mutex<()>,
    history: Mutex<history::History>,
    contact: Mutex<timers::Now>,
    failure: Mutex<String>,
    behind_since: Mutex<Option<timers::Now>>,
    wake_tx: async_channel::Sender<()>,
    wake_rx: async_channel::Receiver<()>,
}

impl Default for ConfigSync {
    fn default() -> Self {
        let (wake_tx, wake_rx) = async_channel::bounded(1);
        Self {
            newest: AtomicU64::new(0),
            source: Mutex::default(),
            fetching: smol::lock::Mutex::new(()),
            history: Mutex::default(),
            contact: Mutex::default(),
            failure: Mutex::default(),
            behind_since: Mutex::default(),
            wake_tx,
            wake_rx,
        }
    }
}

/// Starts following.
pub fn start(router: Arc<Router>) {
    let runtime = router.runtime.clone();
    runtime.spawn(watch_forever(router.clone()));
    runtime.spawn(async move {
        while router.config_sync.wake_rx.recv().await.is_ok() {
            fetch_newest(&router).await;
        }
    });
}

/// Remembers that the store or a peer answered.
pub fn note_contact(router: &Router) {
    *router.config_sync.contact.lock().unwrap() = router.runtime.timers.now();
}

/// Tells why the router should get no requests because of its configuration.
pub fn readiness(router: &Router) -> Option<String> {
    if router.config().config.version == 0 {
        let failure = router.config_sync.failure.lock().unwrap().clone();
        let cause = match failure.is_empty() {
            true => "nothing is published or no peer answers".to_owned(),
            false => failure,
        };
        return Some(format!("no configuration has been read yet: {cause}"));
    }
    if let Some(newer) = lagging(router) {
        return Some(format!("version {newer} is known, but nobody hands it out"));
    }
    is_isolated(router).then(|| {
        let seconds = ISOLATION_LIMIT.as_secs();
        format!("neither the store nor a peer has answered for {seconds} s")
    })
}

/// A newer version that has been known for long without coming into force.
fn lagging(router: &Router) -> Option<u64> {
    let newest = router.config_sync.newest.load(Ordering::Relaxed);
    let behind = newest > router.config().config.version;
    let mut since = router.config_sync.behind_since.lock().unwrap();
    if !behind {
        *since = None;
        return None;
    }
    let now = router.runtime.timers.now();
    let since = *since.get_or_insert(now);
    (now.saturating_sub(since) > LAG_LIMIT).then_some(newest)
}

/// Whether neither the store nor a peer has answered for [`ISOLATION_LIMIT`].
pub fn is_isolated(router: &Router) -> bool {
    let contact = *router.config_sync.contact.lock().unwrap();
    router.runtime.timers.now().saturating_sub(contact) > ISOLATION_LIMIT
}

/// Notes a version that somebody else has seen, and whom to ask for it.
pub fn note_version(router: &Router, version: u64, from: Option<&name::Name>) {
    if version <= router.config().config.version {
        return;
    }
    let known = router
        .config_sync
        .newest
        .fetch_max(version, Ordering::Relaxed);
    if let Some(from) = from.filter(|_| version > known) {
        *router.config_sync.source.lock().unwrap() = Some(from.clone());
    }
    let _ = router.config_sync.wake_tx.try_send(());
}

/// Waits, up to 2 s, until a version or a newer one is in force; tells whether it is.
pub async fn wait_for_version(router: &Router, version: u64) -> bool {
    note_version(router, version, None);
    let timers = &router.runtime.timers;
    let reached = async {
        while router.config().config.version < version {
            timers.sleep(VERSION_WAIT_POLL).await;
        }
    };
    timers.within(VERSION_WAIT_LIMIT, reached).await.is_some()
}

/// Answers a peer that asks for what is newer than a version.
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
        if let Err(err) = follow_store(&router).await {
            tracing::warn!("config: {err}.");
            *router.config_sync.failure.lock().unwrap() = err.to_string();
        }
        pause(&router, REOPEN_LIMIT).await;
    }
}

async fn pause(router: &Router, limit: Duration) {
    let part = router.runtime.rng().f64();
    router.runtime.timers.sleep(limit.mul_f64(part)).await;
}

/// Reads the head and, if this router is one of those that do, watches it until the watch is lost.
async fn follow_store(router: &Router) -> Result<(), error::Error> {
    let (revision, mut watched) = read_head(router).await?;
    if !gossip::watches_store(router) {
        return wait_unwatched(router).await;
    }
    let mut watch = router.store.watch(store::HEAD_KEY, false, revision + 1);
    loop {
        let change = router
            .runtime
            .timers
            .within(check_period(router), watch.next());
        match change.await {
            Some(Some(change)) => watched = take_events(router, &change?, watched).await?,
            Some(None) => return Ok(()),
            None if read_head(router).await?.1 > watched => {
                counter!("fulmar_silent_watches").increment(1);
                tracing::warn!("config: the watch reports nothing any more.");
                return Ok(());
            }
            None if !gossip::watches_store(router) => return Ok(()),
            None => {}
        }
    }
}

/// Waits for one check period, longer the more routers there are, or until the role changes.
async fn wait_unwatched(router: &Router) -> Result<(), error::Error> {
    let rounds = gossip::live_routers(router).len().max(1);
    for _ in 0..rounds {
        router.runtime.timers.sleep(check_period(router)).await;
        if gossip::watches_store(router) {
            break;
        }
    }
    Ok(())
}

fn check_period(router: &Router) -> Duration {
    CHECK_PERIOD.mul_f64(0.75 + 0.5 * router.runtime.rng().f64())
}

/// Reads the head and follows it; returns the revision of the read and the head's version.
async fn read_head(router: &Router) -> Result<(u64, u64), error::Error> {
    let read = router.store.list(store::HEAD_KEY);
    let read = router.runtime.timers.within(FETCH_LIMIT, read).await;
    let (found, revision) = read.unwrap_or_else(|| Err(no_answer("range")))?;
    note_contact(router);
    let Some(found) = found.first() else {
        return Ok((revision, 0));
    };
    let head: config::Head = kv::decode(found)?;
    take_head(router, &head).await?;
    Ok((revision, head.version))
}

/// Follows a change of the head; returns the newest version that the watch has reported.
async fn take_events(
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
    take_head(router, &head).await?;
    Ok(watched.max(head.version))
}

/// Fetches the chunks of a newer head and puts it in force; an older head changes nothing.
async fn take_head(router: &Router, head: &config::Head) -> Result<(), error::Error> {
    let _one = router.config_sync.fetching.lock().await;
    let current = router.config();
    if head.version <= current.config.version {
        return Ok(());
    }
    let known = |digest: &str| current.snapshot.chunks.contains_key(digest);
    let missing = publish::missing(head, known);
    let found = fetch_chunks(router, &missing).await?;
    let chunks = current
        .snapshot
        .collect(head, |digest| found.get(digest).cloned())?;
    let head = head.clone();
    put_in_force(router, history::Snapshot { head, chunks });
    Ok(())
}

async fn fetch_chunks(
    router: &Router,
    missing: &[String],
) -> Result<HashMap<String, object_set::ObjectSet>, error::Error> {
    if missing.is_empty() {
        return Ok(HashMap::new());
    }
    let key = |digest: &String| format!("{}{digest}", store::CHUNK_PREFIX);
    let keys: Vec<_> = missing.iter().map(key).collect();
    let read = router.store.get_many(&keys);
    let read = router.runtime.timers.within(FETCH_LIMIT, read).await;
    let found = read.unwrap_or_else(|| Err(no_answer("get")))?;
    let mut chunks = HashMap::new();
    for digest in missing {
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
        message: format!("no answer within {} s", FETCH_LIMIT.as_secs()),
    }
}

/// Fetches until nothing newer is known; asks the peer that told first, then the store.
async fn fetch_newest(router: &Router) {
    let wanted = || router.config_sync.newest.load(Ordering::Relaxed);
    while router.config().config.version < wanted() {
        let source = router.config_sync.source.lock().unwrap().take();
        if let Some(source) = source
            && ask_peer(router, &source).await
        {
            continue;
        }
        if read_head(router).await.is_ok() && router.config().config.version >= wanted() {
            return;
        }
        if !ask_any_peer(router).await {
            pause(router, REFETCH_LIMIT).await;
        }
    }
}

async fn ask_any_peer(router: &Router) -> bool {
    for peer in gossip::partners(router) {
        if ask_peer(router, &peer).await {
            return true;
        }
    }
    false
}

/// Asks a peer for what is newer; tells whether it had something.
pub async fn ask_peer(router: &Router, peer: &name::Name) -> bool {
    let after = router.config().config.version;
    let call = messages::RouterCall::Config { after };
    let asked = (router.fleet.router)(peer.clone(), call);
    let asked = router.runtime.timers.within(FETCH_LIMIT, asked).await;
    let Some(Ok(messages::RouterReply::Config { version, set })) = asked else {
        return false;
    };
    note_contact(router);
    if version <= after || set.is_empty() {
        return false;
    }
    match take_update(router, &set).await {
        Ok(taken) => taken,
        Err(err) => {
            tracing::warn!("config: peer {peer}: {err}.");
            false
        }
    }
}

async fn take_update(router: &Router, set: &[u8]) -> Result<bool, error::Error> {
    let update = serde_json::from_slice(set).map_err(|source| error::Error::StoreValue {
        key: store::HEAD_KEY.to_owned(),
        source,
    })?;
    let _one = router.config_sync.fetching.lock().await;
    let Some(snapshot) = router.config().snapshot.apply(update)? else {
        return Ok(false);
    };
    put_in_force(router, snapshot);
    Ok(true)
}

/// The one place that changes the configuration in force; the version only grows.
fn put_in_force(router: &Router, snapshot: history::Snapshot) {
    let version = snapshot.head.version;
    let head = snapshot.head.clone();
    let in_force = Arc::new(index(snapshot));
    let mut slot = router.config.write().unwrap();
    if version <= slot.config.version {
        return;
    }
    *slot = in_force;
    drop(slot);
    router.config_sync.history.lock().unwrap().remember(head);
    router
        .config_sync
        .newest
        .fetch_max(version, Ordering::Relaxed);
    tracing::info!("config: version {version} is in force.");
    gossip::trigger(router);
}

fn index(snapshot: history::Snapshot) -> ActiveConfig {
    let set = publish::join(snapshot.chunks.values().cloned());
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
