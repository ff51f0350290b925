//! Publishes a set: chunks first, then the head by compare-and-swap.

use std::{collections::BTreeSet, time::Duration};

use futures::{StreamExt, stream};

use crate::{
    coordination::config_chunks,
    ctl::cut,
    error,
    protocol::kv,
    state::{config, object_set},
    transport::store,
};

/// Attempts to learn what became of a write whose answer was lost.
const RESOLVE_ATTEMPTS: u32 = 8;

/// Pause between them.
const RESOLVE_PAUSE: Duration = Duration::from_millis(250);

/// Chunks that are written at once.
const WRITES_AT_ONCE: usize = 8;

/// Publications after which chunks that no head names are collected.
const COLLECT_PERIOD: u64 = 8;

/// Reads the head and its revision; the default and zero when nothing is published.
///
/// # Errors
///
/// [`error::Error::Store`] when the store cannot be reached.
pub async fn read_head(store: &store::Store) -> Result<(config::Head, u64), error::Error> {
    match store.get(store::HEAD_KEY).await? {
        Some(found) => Ok((kv::decode(&found)?, found.mod_revision.0)),
        None => Ok((config::Head::default(), 0)),
    }
}

/// Reads the published set.
///
/// # Errors
///
/// [`error::Error::Store`] when the store cannot be reached or lacks a chunk.
pub async fn read_published(
    store: &store::Store,
) -> Result<(config::Head, object_set::ObjectSet), error::Error> {
    let (head, _) = read_head(store).await?;
    let set = read_set(store, &head).await?;
    Ok((head, set))
}

async fn read_set(
    store: &store::Store,
    head: &config::Head,
) -> Result<object_set::ObjectSet, error::Error> {
    let keys: Vec<_> = head.chunks.values().map(|digest| key_of(digest)).collect();
    if keys.is_empty() {
        return Ok(object_set::ObjectSet::default());
    }
    let found = store.get_many(&keys).await?;
    let mut parts = Vec::new();
    for key in keys {
        let kv = found.get(&key).ok_or_else(|| error::Error::Store {
            call: "get",
            message: format!("{key} of version {} is missing", head.version),
        })?;
        parts.push(kv::decode(kv)?);
    }
    Ok(config_chunks::join(parts))
}

fn key_of(digest: &str) -> String {
    format!("{}{digest}", store::CHUNK_PREFIX)
}

/// Publishes a set and returns its version.
///
/// # Errors
///
/// [`error::Error::VersionConflict`] when another publication came first, [`error::Error::TotalTooLow`] when a
/// total is below what is granted and spent, [`error::Error::NotPublished`] when the store failed
/// before the head was written, [`error::Error::UnknownOutcome`] when it failed afterwards and does
/// not tell what became of the write.
pub async fn publish_set(
    store: &store::Store,
    set: &object_set::ObjectSet,
    expect: Option<u64>,
) -> Result<u64, error::Error> {
    let (head, revision) = read_head(store).await.map_err(not_published)?;
    let expected = expect.unwrap_or(head.version);
    if head.version != expected {
        let found = head.version;
        return Err(error::Error::VersionConflict { expected, found });
    }
    let old = read_set(store, &head).await.map_err(not_published)?;
    let chunks = config_chunks::split(set)?;
    let next = head.next(format!("{:032x}", fastrand::u128(..)), chunks.digests);
    let capped = cut::place_caps(store, &old, set, next.version).await;
    capped.map_err(not_published)?;
    let written = write_chunks(store, &head, &chunks.contents).await;
    written.map_err(not_published)?;
    let version = write_head(store, &next, revision).await?;
    if version % COLLECT_PERIOD == 0
        && let Err(err) = collect(store, &head).await
    {
        tracing::warn!("ctl: old chunks are left: {err}.");
    }
    Ok(version)
}

fn not_published(err: error::Error) -> error::Error {
    match err {
        error::Error::TotalTooLow { .. } => err,
        other => error::Error::NotPublished {
            cause: other.to_string(),
        },
    }
}

/// Writes the chunks that the current head does not name.
///
/// A chunk that is there already is written again, so that its revision is newer than that of the
/// head: a collector only deletes older ones.
async fn write_chunks(
    store: &store::Store,
    head: &config::Head,
    contents: &std::collections::BTreeMap<String, object_set::ObjectSet>,
) -> Result<(), error::Error> {
    let current: BTreeSet<&String> = head.chunks.values().collect();
    let mut writes = Vec::new();
    for (digest, content) in contents {
        if !current.contains(digest) {
            writes.push(write_chunk(store, digest, content));
        }
    }
    let mut written = stream::iter(writes).buffer_unordered(WRITES_AT_ONCE);
    while let Some(written) = written.next().await {
        written?;
    }
    Ok(())
}

async fn write_chunk(
    store: &store::Store,
    digest: &str,
    content: &object_set::ObjectSet,
) -> Result<(), error::Error> {
    let mut failures = 0;
    let mut expected = 0;
    loop {
        match store.put_if(&key_of(digest), content, expected, 0).await {
            Ok(store::Put::Written(_)) => return Ok(()),
            Ok(store::Put::Conflict(found)) => {
                expected = found.map_or(0, |kv| kv.mod_revision.0);
            }
            Err(err) if failures == RESOLVE_ATTEMPTS => return Err(err),
            Err(_) => {
                failures += 1;
                smol::Timer::after(RESOLVE_PAUSE).await;
            }
        }
    }
}

/// Writes the head. When the answer is lost, the same write is repeated: it can take effect once,
/// and the publication ids that a head keeps tell whose version it was.
async fn write_head(
    store: &store::Store,
    next: &config::Head,
    revision: u64,
) -> Result<u64, error::Error> {
    for _ in 0..RESOLVE_ATTEMPTS {
        match store.put_if(store::HEAD_KEY, next, revision, 0).await {
            Ok(store::Put::Written(_)) => return Ok(next.version),
            Ok(store::Put::Conflict(Some(found))) => return judge(next, &kv::decode(&found)?),
            Ok(store::Put::Conflict(None)) => return Err(unknown(next)),
            Err(_) => {
                smol::Timer::after(RESOLVE_PAUSE).await;
            }
        }
    }
    Err(unknown(next))
}

fn judge(next: &config::Head, found: &config::Head) -> Result<u64, error::Error> {
    match found.publish_id_of(next.version) {
        Some(id) if id == next.publish_id => Ok(next.version),
        Some(_) => Err(error::Error::VersionConflict {
            expected: next.version - 1,
            found: found.version,
        }),
        None => Err(unknown(next)),
    }
}

fn unknown(next: &config::Head) -> error::Error {
    error::Error::UnknownOutcome {
        version: next.version,
        publish_id: next.publish_id.clone(),
    }
}

/// Deletes chunks that neither the newest head nor the one before it names.
///
/// Only chunks older than the newest head are deleted: whoever wrote one of them for a
/// publication of its own has lost to that head.
///
/// # Errors
///
/// [`error::Error::Store`] when the store cannot be reached.
pub async fn collect(store: &store::Store, previous: &config::Head) -> Result<u64, error::Error> {
    let (chunks, _) = store.list(store::CHUNK_PREFIX).await?;
    let (head, revision) = read_head(store).await?;
    let named: BTreeSet<String> = head
        .chunks
        .values()
        .chain(previous.chunks.values())
        .cloned()
        .collect();
    let mut deleted = 0;
    for chunk in chunks {
        let key = String::from_utf8_lossy(&chunk.key.0).into_owned();
        let digest = key.trim_start_matches(store::CHUNK_PREFIX);
        if named.contains(digest) || chunk.mod_revision.0 >= revision {
            continue;
        }
        if store.delete_if(&key, chunk.mod_revision.0).await? {
            deleted += 1;
        }
    }
    Ok(deleted)
}
