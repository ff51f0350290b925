//! Writes the holder's record, which only this router writes.

use std::{sync::atomic::Ordering, time::Duration};

use metrics::counter;

use crate::{
    error,
    protocol::kv,
    router::{Router, fencing},
    state::holder_record,
    transport::store,
};

const WRITE_LIMIT: Duration = Duration::from_secs(3);

/// Writes the record if it changed.
pub async fn flush(router: &Router) {
    if let Err(err) = try_flush(router).await {
        tracing::warn!("billing: {err}.");
    }
}

/// Makes sure that the record exists, and that the fences written before it are known.
///
/// # Errors
///
/// [`error::Error::Store`] when the store cannot be reached.
pub async fn ensure_exists(router: &Router) -> Result<(), error::Error> {
    if router.billing.ready.load(Ordering::Acquire) {
        return Ok(());
    }
    try_flush(router).await
}

/// Writes the record if it changed; afterwards the store holds everything counted before.
///
/// # Errors
///
/// [`error::Error::Store`] when the store cannot be reached.
pub async fn try_flush(router: &Router) -> Result<(), error::Error> {
    let billing = &router.billing;
    let _turn = billing.flushing.lock().await;
    let seq = billing
        .written
        .lock()
        .unwrap()
        .as_ref()
        .map_or(0, |w| w.seq);
    let mut record = router.escrow.snapshot(&router.member, seq);
    if billing.written.lock().unwrap().as_ref() != Some(&record) {
        record.seq += 1;
        write(router, record).await?;
    }
    if !billing.ready.load(Ordering::Acquire) {
        fencing::read_fences(router).await?;
        billing.ready.store(true, Ordering::Release);
    }
    Ok(())
}

async fn write(router: &Router, record: holder_record::HolderRecord) -> Result<(), error::Error> {
    let billing = &router.billing;
    let key = store::holder_key(router.member.incarnation);
    loop {
        let expected = billing.revision.load(Ordering::Relaxed);
        let writing = router.store.put_if(&key, &record, expected, 0);
        let written = router.runtime.timers.within(WRITE_LIMIT, writing).await;
        let written = written.unwrap_or_else(|| Err(late(&key)));
        billing
            .store_down
            .store(written.is_err(), Ordering::Relaxed);
        match written? {
            store::Put::Written(revision) => {
                counter!("fulmar_record_writes").increment(1);
                billing.revision.store(revision, Ordering::Relaxed);
                *billing.written.lock().unwrap() = Some(record);
                return Ok(());
            }
            store::Put::Conflict(Some(found)) => {
                let own: holder_record::HolderRecord = kv::decode(&found)?;
                if own.state != holder_record::HolderState::Live {
                    billing.stop();
                    return Err(fenced(&key));
                }
                billing
                    .revision
                    .store(found.mod_revision.0, Ordering::Relaxed);
            }
            store::Put::Conflict(None) => {
                billing.stop();
                return Err(fenced(&key));
            }
        }
    }
}

fn late(key: &str) -> error::Error {
    error::Error::Store {
        call: "put",
        message: format!("{key}: no answer"),
    }
}

fn fenced(key: &str) -> error::Error {
    error::Error::Store {
        call: "put",
        message: format!("{key} is fenced"),
    }
}
