//! Reads and extends the list of fenced holders in the store.
//!
//! A fenced holder may spend no more; other routers settle its tokens.

use std::sync::PoisonError;

use metrics::{counter, gauge};

use crate::{
    error,
    protocol::kv,
    router::Router,
    state::{fences, member},
    transport::store,
};

/// Attempts of one conditional write when other routers write the same key.
pub const MAX_WRITE_ATTEMPTS: u32 = 16;

/// Reads the list of fenced holders from the store.
///
/// # Errors
///
/// [`error::Error::Store`] when the store cannot be reached.
pub async fn read_fences(router: &Router) -> Result<(), error::Error> {
    if let Some(kv) = router.store.get(store::FENCES_KEY).await? {
        let list: fences::Fences = kv::decode(&kv)?;
        apply_fences(router, kv.mod_revision.0, &list);
    }
    Ok(())
}

/// Takes over a list of fences; stops spending when this router is on it.
fn apply_fences(router: &Router, revision: u64, list: &fences::Fences) {
    block_transfers(router, &list.holders);
    let mut known = router.fences.lock().unwrap();
    known.merge(revision, list.holders.iter().copied());
    gauge!("fulmar_fenced_holders").set(known.holders.len() as f64);
    if known.holders.contains(&router.member.incarnation) {
        router.billing.stop_as_fenced();
    }
}

/// Blocks further transfers of tokens with some holders; waits for those under way to end.
pub fn block_transfers<'a>(
    router: &Router,
    holders: impl IntoIterator<Item = &'a member::Incarnation>,
) {
    let blocked = &router.billing.blocked_holders;
    let mut blocked = blocked.write().unwrap_or_else(PoisonError::into_inner);
    blocked.extend(holders);
}

/// Adds holders to the list of fenced holders in the store.
pub async fn fence(router: &Router, holders: &[member::Incarnation]) -> Result<(), error::Error> {
    let key = store::FENCES_KEY;
    let mut found = router.store.get(key).await?;
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let mut list: fences::Fences = match &found {
            Some(kv) => kv::decode(kv)?,
            None => fences::Fences::default(),
        };
        let revision = found.as_ref().map_or(0, |kv| kv.mod_revision.0);
        if !list.merge(revision, holders.iter().copied()) {
            return Ok(());
        }
        match router.store.put_if(key, &list, revision, 0).await? {
            store::Put::Written(revision) => {
                tracing::info!("recovery: fenced holders {holders:?}.");
                counter!("fulmar_fences").increment(holders.len() as u64);
                apply_fences(router, revision, &list);
                return Ok(());
            }
            store::Put::Conflict(newer) => found = newer,
        }
    }
    Err(too_many_conflicts(key))
}

/// Error of a write that lost every attempt to writes of other routers.
pub fn too_many_conflicts(key: &str) -> error::Error {
    error::Error::Store {
        call: "put",
        message: format!("{key}: too many concurrent writes"),
    }
}
