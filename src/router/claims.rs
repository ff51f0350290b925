//! Claims calls that must not be repeated in the store, many to a write.

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

/// Longest wait for a claim.
const CLAIM_LIMIT: Duration = Duration::from_secs(3);

const WRITE_ATTEMPTS: u32 = 16;
const RECORD_ATTEMPTS: u32 = 5;
const RECORD_PAUSE: Duration = Duration::from_secs(1);

/// A change that waits for the next write of its bucket.
struct Pending {
    change: Change,
    tx: async_channel::Sender<Claimed>,
}

/// Changes that wait, by bucket.
#[derive(Default)]
struct Queue {
    pending: Mutex<Vec<Pending>>,
    writing: AtomicBool,
}

/// Claims of a router.
pub struct Claims {
    queues: Vec<Queue>,
    started: u64,
}

impl Default for Claims {
    fn default() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            queues: (0..claims::BUCKETS).map(|_| Queue::default()).collect(),
            started: since.map_or(0, |since| since.as_secs()),
        }
    }
}

fn claim_of(router: &Router, req: &request::Request, outcome: Option<Code>) -> Claim {
    Claim {
        workspace: req.workspace.clone(),
        key: req.key.clone(),
        id: req.id.clone(),
        fingerprint: req.fingerprint,
        at: router.claims.started + router.runtime.timers.now().as_secs(),
        outcome: outcome.map(|code| code as u16),
    }
}

/// Claims a call; it may be dispatched only when this returns [`Claimed::New`].
pub async fn claim(router: &Arc<Router>, req: &request::Request) -> Claimed {
    let change = Change::Claim(claim_of(router, req, None));
    let written = submit(router, change);
    let timers = &router.runtime.timers;
    match timers.within(CLAIM_LIMIT, written.recv()).await {
        Some(Ok(claimed)) => claimed,
        _ => {
            release(router, req);
            Claimed::Refused(Code::ClaimUnavailable)
        }
    }
}

/// Takes back the claim of a call that certainly did not run.
pub fn release(router: &Arc<Router>, req: &request::Request) {
    persist(router, Change::Release(claim_of(router, req, None)));
}

/// Records how a claimed call ended.
pub fn record_outcome(router: &Arc<Router>, req: &request::Request, code: Code) {
    persist(router, Change::Record(claim_of(router, req, Some(code))));
}

/// Writes a change, and tries again for a while when the store does not answer.
fn persist(router: &Arc<Router>, change: Change) {
    let (runtime, router) = (router.runtime.clone(), router.clone());
    runtime.spawn(async move {
        for _ in 0..RECORD_ATTEMPTS {
            if submit(&router, change.clone()).recv().await.is_ok() {
                return;
            }
            router.runtime.timers.sleep(RECORD_PAUSE).await;
        }
        tracing::warn!(
            "claims: the outcome of {} is not recorded.",
            change.claim().id
        );
    });
}

/// Queues a change; the receiver ends without a message when it could not be written.
fn submit(router: &Arc<Router>, change: Change) -> async_channel::Receiver<Claimed> {
    let (tx, rx) = async_channel::bounded(1);
    let claim = change.claim();
    let bucket = claims::hash(&claim.workspace, &claim.key) % claims::BUCKETS;
    let queue = &router.claims.queues[bucket as usize];
    queue.pending.lock().unwrap().push(Pending { change, tx });
    if !queue.writing.swap(true, Ordering::SeqCst) {
        let (runtime, router) = (router.runtime.clone(), router.clone());
        runtime.spawn(async move { drain(&router, bucket).await });
    }
    rx
}

/// Writes what waits for a bucket until nothing is left.
async fn drain(router: &Router, bucket: u64) {
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
        match write(router, bucket, &batch).await {
            Ok(found) => {
                for (pending, claimed) in batch.iter().zip(found) {
                    let _ = pending.tx.try_send(claimed);
                }
            }
            Err(err) => tracing::warn!("claims: {err}."),
        }
    }
}

/// Applies changes to a bucket; after a lost reply, reading again tells whether they took effect,
/// for each claim is known by its own request id.
async fn write(
    router: &Router,
    bucket: u64,
    batch: &[Pending],
) -> Result<Vec<Claimed>, error::Error> {
    let key = format!("{}{bucket:03}", store::CLAIM_PREFIX);
    let at = router.claims.started + router.runtime.timers.now().as_secs();
    let mut found = router.store.get(&key).await?;
    for _ in 0..WRITE_ATTEMPTS {
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
        message: format!("{key} kept changing"),
    })
}
