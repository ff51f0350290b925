//! Follows the published configuration.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use crate::{
    coordination::publish,
    error,
    protocol::kv,
    router::Router,
    state::{config, name, object_set},
    transport::store,
};

const POLL_PERIOD: Duration = Duration::from_millis(500);

/// A configuration and the indexes that requests are looked up by.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    /// The configuration.
    pub config: config::Config,
    /// Workspaces by the digest of a caller key.
    pub by_key: HashMap<String, name::Name>,
    chunks: BTreeMap<String, object_set::ObjectSet>,
}

/// Starts following the head.
pub fn start(router: Arc<Router>) {
    let runtime = router.runtime.clone();
    runtime.spawn(async move {
        let ticks = router.runtime.every(POLL_PERIOD);
        loop {
            if let Err(err) = poll(&router).await {
                tracing::warn!("config: {err}.");
            }
            if ticks.recv().await.is_err() {
                return;
            }
        }
    });
}

async fn poll(router: &Router) -> Result<(), error::Error> {
    let Some(found) = router.store.get(store::HEAD_KEY).await? else {
        return Ok(());
    };
    let head: config::Head = kv::decode(&found)?;
    let current = router.config();
    if head.version <= current.config.version {
        return Ok(());
    }
    let in_force = fetch(router, &head, &current).await?;
    let mut slot = router.config.write().unwrap();
    if in_force.config.version > slot.config.version {
        tracing::info!("config: version {} is in force.", in_force.config.version);
        *slot = Arc::new(in_force);
    }
    Ok(())
}

async fn fetch(
    router: &Router,
    head: &config::Head,
    current: &InForce,
) -> Result<InForce, error::Error> {
    let missing = publish::missing(head, |digest| current.chunks.contains_key(digest));
    let key = |digest: &String| format!("{}{digest}", store::CHUNK_PREFIX);
    let keys: Vec<_> = missing.iter().map(key).collect();
    let found = router.store.get_many(&keys).await?;
    let mut chunks = BTreeMap::new();
    for digest in head.chunks.values() {
        if let Some(known) = current.chunks.get(digest) {
            chunks.insert(digest.clone(), known.clone());
            continue;
        }
        let Some(kv) = found.get(&key(digest)) else {
            let message = format!("chunk {digest} of version {} is missing", head.version);
            return Err(error::Error::Store {
                call: "get",
                message,
            });
        };
        chunks.insert(digest.clone(), kv::decode(kv)?);
    }
    Ok(index(head.version, chunks))
}

fn index(version: u64, chunks: BTreeMap<String, object_set::ObjectSet>) -> InForce {
    let set = publish::join(chunks.values().cloned());
    let mut by_key = HashMap::new();
    for (name, workspace) in &set.workspaces {
        for key in &workspace.keys {
            by_key.insert(key.to_ascii_lowercase(), name.clone());
        }
    }
    let set = Arc::new(set);
    InForce {
        config: config::Config { version, set },
        by_key,
        chunks,
    }
}
