//! Claims calls that must not run twice.
//!
//! Claims are stored in buckets; one write carries all changes that wait for its bucket.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    code::Code,
    coordination::claims::{self, Bucket, Change, Claim, Claimed},
    error,
    protocol::kv,
    router::{Router, request},
    transport::store,
};

/// Longest time that a call waits for its claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

/// Attempts of one conditional write when other routers write the same bucket.
const MAX_WRITE_ATTEMPTS: u32 = 16;
/// Attempts to store an outcome or a release.
const MAX_PERSIST_ATTEMPTS: u32 = 5;
/// Delay between these attempts.
const PERSIST_RETRY_DELAY: Duration = Duration::from_secs(1);

/// A change that waits for the next write of its bucket.
struct Pending {
    change: Change,
    tx: async_channel::Sender<Claimed>,
}

/// Changes that wait for the next write of one bucket.
#[derive(Default)]
struct Queue {
    pending: Mutex<Vec<Pending>>,
    /// Whether a task is writing the bucket.
    writing: AtomicBool,
}

/// State of claiming: one queue per bucket.
pub struct Claims {
    queues: Vec<Queue>,
    /// Time at which the router started, in seconds since 1970.
    started_at: u64,
}

impl Default for Claims {
    fn default() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            queues: (0..claims::CLAIM_BUCKETS)
                .map(|_| Queue::default())
                .collect(),
            started_at: since.map_or(0, |since| since.as_secs()),
        }
    }
}

/// Builds the claim of a request, dated now.
fn new_claim(router: &Router, req: &request::Request, outcome: Option<Code>) -> Claim {
    Claim {
        workspace: req.workspace.clone(),
        key: req.key.clone(),
        id: req.id.clone(),
        fingerprint: req.fingerprint,
        at: router.claims.started_at + router.runtime.timers.now().as_secs(),
        outcome: outcome.map(|code| code as u16),
    }
}

/// Claims a call; it may be dispatched only when this returns [`Claimed::New`].
pub async fn claim(router: &Arc<Router>, req: &request::Request) -> Claimed {
    let change = Change::Claim(new_claim(router, req, None));
    let written = submit(router, change);
    let timers = &router.runtime.timers;
    match timers.within(CLAIM_TIMEOUT, written.recv()).await {
        Some(Ok(claimed)) => claimed,
        _ => {
            release(router, req);
            Claimed::Refused(Code::ClaimUnavailable)
        }
    }
}

/// Takes back the claim of a call that certainly did not run.
pub fn release(router: &Arc<Router>, req: &request::Request) {
    persist_with_retries(router, Change::Release(new_claim(router, req, None)));
}

/// Records how a claimed call ended.
pub fn record_outcome(router: &Arc<Router>, req: &request::Request, code: Code) {
    persist_with_retries(router, Change::Record(new_claim(router, req, Some(code))));
}

/// Writes a change in the background; tries again a few times when the store does not answer.
fn persist_with_retries(router: &Arc<Router>, change: Change) {
    let (runtime, router) = (router.runtime.clone(), router.clone());
    runtime.spawn(async move {
        for _ in 0..MAX_PERSIST_ATTEMPTS {
            if submit(&router, change.clone()).recv().await.is_ok() {
                return;
            }
            router.runtime.timers.sleep(PERSIST_RETRY_DELAY).await;
        }
        tracing::warn!(
            "claims: the outcome of {} is not recorded.",
            change.claim().id
        );
    });
}

/// Queues a change for the next write of its bucket.
///
/// The returned channel closes without a message when the change could not be written.
fn submit(router: &Arc<Router>, change: Change) -> async_channel::Receiver<Claimed> {
    let (tx, rx) = async_channel::bounded(1);
    let claim = change.claim();
    let bucket = claims::hash(&claim.workspace, &claim.key) % claims::CLAIM_BUCKETS;
    let queue = &router.claims.queues[bucket as usize];
    queue.pending.lock().unwrap().push(Pending { change, tx });
    if !queue.writing.swap(true, Ordering::SeqCst) {
        let (runtime, router) = (router.runtime.clone(), router.clone());
        runtime.spawn(async move { write_pending(&router, bucket).await });
    }
    rx
}

/// Writes the pending changes of a bucket, batch by batch, until none are left.
async fn write_pending(router: &Router, bucket: u64) {
    let queue = &router.claims.queues[bucket as usize];
    loop {
        let batch = {
            let mut pending = queue.pending.lock().unwrap();
            if pending.is_empty() {
                queue.writing.store(false, Ordering::SeqCst);
                return;
            }
            std::mem::take(&mut *pending)
        };
        match write_batch(router, bucket, &batch).await {
            Ok(found) => {
                for (pending, claimed) in batch.iter().zip(found) {
                    let _ = pending.tx.try_send(claimed);
                }
            }
            Err(err) => tracing::warn!("claims: {err}."),
        }
    }
}

/// Applies changes to a bucket in the store.
///
/// When the reply to a write is lost, reading the bucket again shows whether it took effect: each
/// claim carries the id of its request.
async fn write_batch(
    router: &Router,
    bucket: u64,
    batch: &[Pending],
) -> Result<Vec<Claimed>, error::Error> {
    let key = format!("{}{bucket:03}", store::CLAIM_PREFIX);
    let at = router.claims.started_at + router.runtime.timers.now().as_secs();
    let mut found = router.store.get(&key).await?;
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let before: Bucket = match &found {
            Some(kv) => kv::decode(kv)?,
            None => Bucket::default(),
        };
        let mut after = before.clone();
        after.expire(at);
        let claimed = batch.iter().map(|p| after.apply(&p.change)).collect();
        if after == before {
            return Ok(claimed);
        }
        let revision = found.as_ref().map_or(0, |kv| kv.mod_revision.0);
        match router.store.put_if(&key, &after, revision, 0).await {
            Ok(store::Put::Written(_)) => return Ok(claimed),
            Ok(store::Put::Conflict(newer)) => found = newer,
            Err(err) => {
                tracing::warn!("claims: {err}.");
                found = router.store.get(&key).await?;
            }
        }
    }
    Err(error::Error::Store {
        call: "put",
        message: format!("{key}: too many concurrent writes"),
    })
}
