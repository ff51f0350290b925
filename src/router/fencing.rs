//! The list of fenced holders, whose tokens are settled by others.

use std::sync::PoisonError;

use metrics::{counter, gauge};

use crate::{
    error,
    protocol::kv,
    router::Router,
    state::{fences, member},
    transport::store,
};

/// Tries of one write against other routers' writes.
pub const ATTEMPTS: u32 = 16;

/// Reads the list of fenced holders from the store.
///
/// # Errors
///
/// [`error::Error::Store`] when the store cannot be reached.
pub async fn read_fences(router: &Router) -> Result<(), error::Error> {
    if let Some(kv) = router.store.get(store::FENCES_KEY).await? {
        let list: fences::Fences = kv::decode(&kv)?;
        learn_fences(router, kv.mod_revision.0, &list);
    }
    Ok(())
}

fn learn_fences(router: &Router, revision: u64, list: &fences::Fences) {
    block_transfers(router, &list.holders);
    let mut known = router.fences.lock().unwrap();
    known.merge(revision, list.holders.iter().copied());
    gauge!("fulmar_fenced_holders").set(known.holders.len() as f64);
    if known.holders.contains(&router.member.incarnation) {
        router.billing.stop();
    }
}

/// Waits for transfers with some holders to end and allows no more of them.
pub fn block_transfers<'a>(
    router: &Router,
    holders: impl IntoIterator<Item = &'a member::Incarnation>,
) {
    let promised = &router.billing.promised;
    let mut promised = promised.write().unwrap_or_else(PoisonError::into_inner);
    promised.extend(holders);
}

/// Adds holders to the list of fences.
pub async fn fence(router: &Router, holders: &[member::Incarnation]) -> Result<(), error::Error> {
    let key = store::FENCES_KEY;
    let mut found = router.store.get(key).await?;
    for _ in 0..ATTEMPTS {
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
                tracing::info!("recovery: fenced {holders:?}.");
                counter!("fulmar_fences").increment(holders.len() as u64);
                learn_fences(router, revision, &list);
                return Ok(());
            }
            store::Put::Conflict(newer) => found = newer,
        }
    }
    Err(too_many_conflicts(key))
}

pub fn too_many_conflicts(key: &str) -> error::Error {
    error::Error::Store {
        call: "put",
        message: format!("{key} kept changing"),
    }
}
