//! Writes this router's holder record to the store.
//!
//! While the holder is live, only this router writes the record.

use std::{sync::atomic::Ordering, time::Duration};

use metrics::counter;

use crate::{
    error,
    protocol::kv,
    router::{Router, fencing},
    state::holder_record,
    transport::store,
};

/// Longest wait for one write.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// Writes the record if it changed; a failure is only logged.
pub async fn flush(router: &Router) {
    if let Err(err) = try_flush(router).await {
        tracing::warn!("billing: {err}.");
    }
}

/// Makes sure that the record exists and that the list of fenced holders has been read after that.
///
/// # Errors
///
/// [`error::Error::Store`] when the store cannot be reached.
pub async fn ensure_exists(router: &Router) -> Result<(), error::Error> {
    if router.billing.record_ready.load(Ordering::Acquire) {
        return Ok(());
    }
    try_flush(router).await
}

/// Writes the record if it changed; on return the store holds all figures from before the call.
///
/// # Errors
///
/// [`error::Error::Store`] when the store cannot be reached.
pub async fn try_flush(router: &Router) -> Result<(), error::Error> {
    let billing = &router.billing;
    let _turn = billing.record_lock.lock().await;
    let seq = billing
        .written_record
        .lock()
        .unwrap()
        .as_ref()
        .map_or(0, |w| w.seq);
    let mut record = router.escrow.snapshot(&router.member, seq);
    if billing.written_record.lock().unwrap().as_ref() != Some(&record) {
        record.seq += 1;
        write(router, record).await?;
    }
    if !billing.record_ready.load(Ordering::Acquire) {
        fencing::read_fences(router).await?;
        billing.record_ready.store(true, Ordering::Release);
    }
    Ok(())
}

/// Writes the record on condition that nobody else has changed it.
///
/// A conflict with a live record comes from an earlier write of this router whose answer was lost;
/// the write is repeated on top of it. Any other conflict means that other routers have fenced
/// this one.
async fn write(router: &Router, record: holder_record::HolderRecord) -> Result<(), error::Error> {
    let billing = &router.billing;
    let key = store::holder_key(router.member.incarnation);
    loop {
        let expected = billing.record_revision.load(Ordering::Relaxed);
        let writing = router.store.put_if(&key, &record, expected, 0);
        let written = router.runtime.timers.within(WRITE_TIMEOUT, writing).await;
        let written = written.unwrap_or_else(|| Err(timed_out(&key)));
        billing
            .store_down
            .store(written.is_err(), Ordering::Relaxed);
        match written? {
            store::Put::Written(revision) => {
                counter!("fulmar_record_writes").increment(1);
                billing.record_revision.store(revision, Ordering::Relaxed);
                *billing.written_record.lock().unwrap() = Some(record);
                return Ok(());
            }
            store::Put::Conflict(Some(found)) => {
                let own: holder_record::HolderRecord = kv::decode(&found)?;
                if own.state != holder_record::HolderState::Live {
                    billing.stop_as_fenced();
                    return Err(record_fenced(&key));
                }
                billing
                    .record_revision
                    .store(found.mod_revision.0, Ordering::Relaxed);
            }
            store::Put::Conflict(None) => {
                billing.stop_as_fenced();
                return Err(record_fenced(&key));
            }
        }
    }
}

fn timed_out(key: &str) -> error::Error {
    error::Error::Store {
        call: "put",
        message: format!("{key}: no answer in time"),
    }
}

fn record_fenced(key: &str) -> error::Error {
    error::Error::Store {
        call: "put",
        message: format!("{key}: other routers have fenced this router"),
    }
}
