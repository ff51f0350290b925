//! Publishes a set of objects: writes its chunks first, then the head by compare-and-swap.

use std::{collections::BTreeSet, time::Duration};

use futures::{StreamExt, stream};

use crate::{
    coordination::config_chunks,
    ctl::budget_caps,
    error,
    protocol::kv,
    state::{config, object_set},
    transport::store,
};

/// Maximum number of attempts at a write when the store fails or its answer is lost.
const MAX_WRITE_ATTEMPTS: u32 = 8;

/// Delay between these attempts.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Maximum number of chunks that are written concurrently.
const MAX_CONCURRENT_WRITES: usize = 8;

/// Number of publications between two deletions of unused chunks.
const PUBLICATIONS_PER_CLEANUP: u64 = 8;

/// Reads the head and its revision; returns an empty head and zero when nothing is published.
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

/// Reads the published set and its head.
///
/// # Errors
///
/// [`error::Error::Store`] when the store cannot be reached or a chunk is missing.
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
    let keys: Vec<_> = head
        .chunks
        .values()
        .map(|digest| chunk_key(digest))
        .collect();
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

fn chunk_key(digest: &str) -> String {
    format!("{}{digest}", store::CHUNK_PREFIX)
}

/// Publishes a set and returns its version.
///
/// # Errors
///
/// [`error::Error::VersionConflict`] when another publication came first,
/// [`error::Error::TotalTooLow`] when a total is below the tokens granted and spent,
/// [`error::Error::NotPublished`] when the store failed before the head was written, and
/// [`error::Error::UnknownOutcome`] when it cannot be determined whether the head was written.
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
    let capped = budget_caps::place_caps(store, &old, set, next.version).await;
    capped.map_err(not_published)?;
    let written = write_chunks(store, &head, &chunks.contents).await;
    written.map_err(not_published)?;
    let version = write_head(store, &next, revision).await?;
    if version % PUBLICATIONS_PER_CLEANUP == 0
        && let Err(err) = delete_unused_chunks(store, &head).await
    {
        tracing::warn!("ctl: failed to delete unused chunks: {err}.");
    }
    Ok(version)
}

/// Marks an error as one that occurred before the publication could take effect.
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
/// A chunk that already exists is written again, so that its revision becomes newer than that of
/// the head: [`delete_unused_chunks`] deletes older ones only.
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
    let mut written = stream::iter(writes).buffer_unordered(MAX_CONCURRENT_WRITES);
    while let Some(written) = written.next().await {
        written?;
    }
    Ok(())
}

/// Writes a chunk, whether or not it exists.
async fn write_chunk(
    store: &store::Store,
    digest: &str,
    content: &object_set::ObjectSet,
) -> Result<(), error::Error> {
    let mut failures = 0;
    let mut expected = 0;
    loop {
        match store.put_if(&chunk_key(digest), content, expected, 0).await {
            Ok(store::Put::Written(_)) => return Ok(()),
            Ok(store::Put::Conflict(found)) => {
                expected = found.map_or(0, |kv| kv.mod_revision.0);
            }
            Err(err) if failures == MAX_WRITE_ATTEMPTS => return Err(err),
            Err(_) => {
                failures += 1;
                smol::Timer::after(WRITE_RETRY_DELAY).await;
            }
        }
    }
}

/// Writes the head and returns its version.
///
/// When the store's answer is lost, the same write is sent again. It takes effect at most once,
/// because it is conditional on the head's previous revision. If the repeated write conflicts, the
/// publication ids in the stored head show whether this publication or another one wrote the
/// version.
async fn write_head(
    store: &store::Store,
    next: &config::Head,
    revision: u64,
) -> Result<u64, error::Error> {
    for _ in 0..MAX_WRITE_ATTEMPTS {
        match store.put_if(store::HEAD_KEY, next, revision, 0).await {
            Ok(store::Put::Written(_)) => return Ok(next.version),
            Ok(store::Put::Conflict(Some(found))) => {
                return resolve_conflict(next, &kv::decode(&found)?);
            }
            Ok(store::Put::Conflict(None)) => return Err(unknown_outcome(next)),
            Err(_) => {
                smol::Timer::after(WRITE_RETRY_DELAY).await;
            }
        }
    }
    Err(unknown_outcome(next))
}

/// Determines from the stored head which publication wrote the version of `next`.
fn resolve_conflict(next: &config::Head, found: &config::Head) -> Result<u64, error::Error> {
    match found.publish_id_of(next.version) {
        Some(id) if id == next.publish_id => Ok(next.version),
        Some(_) => Err(error::Error::VersionConflict {
            expected: next.version - 1,
            found: found.version,
        }),
        None => Err(unknown_outcome(next)),
    }
}

fn unknown_outcome(next: &config::Head) -> error::Error {
    error::Error::UnknownOutcome {
        version: next.version,
        publish_id: next.publish_id.clone(),
    }
}

/// Deletes the chunks that neither the current head nor `previous` refers to; returns their number.
///
/// Only chunks with a lower revision than the current head are deleted. A publication in progress
/// that wrote such a chunk can no longer succeed, because the head has changed since.
///
/// # Errors
///
/// [`error::Error::Store`] when the store cannot be reached.
pub async fn delete_unused_chunks(
    store: &store::Store,
    previous: &config::Head,
) -> Result<u64, error::Error> {
    let (chunks, _) = store.list(store::CHUNK_PREFIX).await?;
    let (head, revision) = read_head(store).await?;
    let used: BTreeSet<String> = head
        .chunks
        .values()
        .chain(previous.chunks.values())
        .cloned()
        .collect();
    let mut deleted = 0;
    for chunk in chunks {
        let key = String::from_utf8_lossy(&chunk.key.0).into_owned();
        let digest = key.trim_start_matches(store::CHUNK_PREFIX);
        if used.contains(digest) || chunk.mod_revision.0 >= revision {
            continue;
        }
        if store.delete_if(&key, chunk.mod_revision.0).await? {
            deleted += 1;
        }
    }
    Ok(deleted)
}
