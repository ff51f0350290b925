//! Reserves prepaid tokens for requests.
//!
//! The router reserves from tokens that it already holds. A background task adjusts this stock to
//! the measured demand: it requests grants from the ledger in the store and returns unused tokens.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc, Mutex, RwLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use metrics::counter;

use crate::{
    code::Code,
    coordination::{demand, refill as ledger_steps},
    error,
    router::{Router, draw, gossip, record_writer, recovery, refill},
    state::{holder_record, ledger, member, name},
};

/// Shortest time between two runs of the background task.
const MIN_UPKEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Upper bound on the holder records that all routers of the fleet together write per second.
const MAX_RECORDS_PER_SECOND: u32 = 100;

/// Longest time that a request waits for more tokens, such as those that ending requests leave.
const RESERVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two attempts to reserve while a request waits.
const RESERVE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Delay between two attempts of a router that shuts down to settle its tokens and close its
/// record.
const SETTLE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Attempts of a router that shuts down to close its record when another member does not answer.
const MAX_CLOSE_ATTEMPTS: u32 = 5;

/// State of billing.
///
/// Lock order: one of `bucket_locks`, `record_lock`, `blocked_holders`, `written_record`.
/// `waiting_tokens` is locked without any other of these.
#[derive(Debug)]
pub struct Billing {
    /// One lock per ledger bucket; allows one write of a bucket at a time.
    pub bucket_locks: Vec<smol::lock::Mutex<()>>,
    /// Tokens for which requests wait, by budget; the next write of the bucket asks for them.
    pub waiting_tokens: Mutex<BTreeMap<name::Name, u64>>,
    /// Allows one write of the holder record at a time.
    pub record_lock: smol::lock::Mutex<()>,
    /// Store revision of the holder record; zero before the first write.
    pub record_revision: AtomicU64,
    /// Whether the holder record exists and this router has since read the list of fenced holders.
    pub record_ready: AtomicBool,
    /// Holder record as last confirmed by the store.
    pub written_record: Mutex<Option<holder_record::HolderRecord>>,
    /// Holders with which this router exchanges no more tokens, because they are being closed.
    pub blocked_holders: RwLock<BTreeSet<member::Incarnation>>,
    /// Whether the last write to the store failed.
    pub store_down: AtomicBool,
    /// Known incarnations of other routers, by address.
    pub peer_incarnations: Mutex<BTreeMap<name::Name, member::Incarnation>>,
    fenced: AtomicBool,
}

impl Default for Billing {
    fn default() -> Self {
        let bucket_locks = (0..ledger::LEDGER_BUCKETS).map(|_| smol::lock::Mutex::new(()));
        Self {
            bucket_locks: bucket_locks.collect(),
            waiting_tokens: Mutex::default(),
            record_lock: smol::lock::Mutex::new(()),
            record_revision: AtomicU64::new(0),
            record_ready: AtomicBool::new(false),
            written_record: Mutex::default(),
            blocked_holders: RwLock::default(),
            store_down: AtomicBool::new(false),
            peer_incarnations: Mutex::default(),
            fenced: AtomicBool::new(false),
        }
    }
}

impl Billing {
    /// Highest receipt number of an agent such that the stored record covers it and all before it.
    pub fn acknowledged_receipt(&self, agent: member::Incarnation) -> u64 {
        let written = self.written_record.lock().unwrap();
        let covered = written.as_ref().and_then(|w| w.covered.get(&agent));
        covered.map_or(0, |covered| covered.through)
    }

    /// Whether this router may spend no more: it has been fenced, or closes its own record.
    pub fn is_fenced(&self) -> bool {
        self.fenced.load(Ordering::Relaxed)
    }

    /// Stops spending because this router shuts down and closes its own record.
    fn stop_for_shutdown(&self) {
        self.fenced.store(true, Ordering::Relaxed);
    }

    /// Stops spending because other routers have fenced this one.
    pub fn stop_as_fenced(&self) {
        if !self.fenced.swap(true, Ordering::Relaxed) {
            tracing::error!(
                "billing: other routers have fenced this router; it accepts no more requests."
            );
        }
    }
}

/// Starts the task that periodically writes the holder record and adjusts grants to the demand.
pub fn start(router: Arc<Router>) {
    let runtime = router.runtime.clone();
    runtime.spawn(async move {
        let mut rng = router.runtime.rng();
        while !router.billing.is_fenced() {
            record_writer::flush(&router).await;
            if !router.billing.is_fenced() && !router.draining.load(Ordering::Relaxed) {
                update_grants(&router).await;
            }
            let spread = 0.9 + 0.2 * rng.f64();
            let interval = upkeep_interval(gossip::fleet_size(&router)).mul_f64(spread);
            router.runtime.timers.sleep(interval).await;
        }
    });
}

/// Time between two runs of the background task.
///
/// It grows with the number of routers, so that the fleet writes at most
/// [`MAX_RECORDS_PER_SECOND`] records per second.
fn upkeep_interval(routers: usize) -> Duration {
    MIN_UPKEEP_INTERVAL.max(Duration::from_secs(routers as u64) / MAX_RECORDS_PER_SECOND)
}

/// Requests grants for the expected demand and returns unused tokens, with one write per bucket.
async fn update_grants(router: &Router) {
    let now = router.runtime.timers.now();
    let mut changes: BTreeMap<u64, BTreeMap<name::Name, ledger_steps::Change>> = BTreeMap::new();
    for budget in router.escrow.budgets() {
        if let Some(change) = periodic_change(router, &budget, now) {
            let bucket = changes.entry(ledger::bucket_of(&budget)).or_default();
            bucket.insert(budget, change);
        }
    }
    for (bucket, changes) in changes {
        let _turn = router.billing.bucket_locks[bucket as usize].lock().await;
        if refill::write(router, bucket, changes).await.is_err() {
            return;
        }
    }
}

/// Change of one budget that brings the available tokens closer to the demand, if one is due.
fn periodic_change(
    router: &Router,
    budget: &name::Name,
    now: Duration,
) -> Option<ledger_steps::Change> {
    let config = router.config();
    let object = config.config.set.budgets.get(budget)?;
    let autonomy = Duration::from_secs(object.autonomy_seconds);
    router.escrow.with_account(budget, |account| {
        account.demand.record(account.requested, now);
        account.requested = 0;
        let target = account.demand.target(autonomy);
        let available = account.available();
        account.withhold(demand::surplus(available, target));
        if account.withheld > 0 {
            return Some(ledger_steps::Change::Return(account.withheld));
        }
        let missing = demand::missing(available, target);
        let low = missing > 0 && account.free > 0;
        low.then_some(ledger_steps::Change::Grant { needed: 0, missing })
    })
}

/// Reserves tokens for a request.
///
/// When the router holds too few, it takes more from the ledger and from other routers. If that
/// does not suffice, it tries again for up to [`RESERVE_TIMEOUT`] as long as the ledger has free
/// tokens, or other requests have reserved enough tokens that they may leave unspent.
///
/// # Errors
///
/// [`Code::BudgetSpent`] when the budget is spent, [`Code::BudgetUnreachable`] when tokens may be
/// left that this router cannot obtain now, [`Code::NotReady`] when this router may spend no more.
pub async fn reserve(router: &Router, budget: &name::Name, tokens: u64) -> Result<(), Code> {
    if router.billing.is_fenced() {
        return Err(Code::NotReady);
    }
    if router.escrow.reserve(budget, tokens).is_ok() {
        return Ok(());
    }
    let start = router.runtime.timers.now();
    let found = loop {
        let found = fetch_tokens(router, budget, tokens).await;
        let Err(short) = router.escrow.reserve(budget, tokens) else {
            return Ok(());
        };
        let waited = router.runtime.timers.now().saturating_sub(start);
        let settling = short.available + short.reserved >= tokens;
        let more = last_known_free(router, budget).is_some_and(|free| free > 0);
        if waited >= RESERVE_TIMEOUT || !(settling || more) {
            break if more { Shortage::Unknown } else { found };
        }
        counter!("fulmar_reserve_waits").increment(1);
        if !more {
            router.runtime.timers.sleep(RESERVE_POLL_INTERVAL).await;
        }
    };
    match found {
        Shortage::Spent => Err(Code::BudgetSpent),
        Shortage::Unknown => Err(Code::BudgetUnreachable),
    }
}

/// What is known of a budget for which too few tokens could be reserved.
enum Shortage {
    /// Neither the ledger nor another router has tokens left.
    Spent,
    /// Tokens may be left, but could not be obtained.
    Unknown,
}

/// Takes missing tokens from the ledger, then from other routers.
///
/// While the store fails, other routers are asked first.
async fn fetch_tokens(router: &Router, budget: &name::Name, tokens: u64) -> Shortage {
    if router.billing.store_down.load(Ordering::Relaxed)
        && draw::draw_from_peers(router, budget, tokens).await.enough
    {
        return Shortage::Unknown;
    }
    let left = refill::request_grant(router, budget, tokens).await;
    let enough = router.escrow.with_account(budget, |a| a.available()) >= tokens;
    match left {
        _ if enough => return Shortage::Unknown,
        Ok(0) => return Shortage::Spent,
        Ok(_) => {}
        Err(err) => tracing::warn!("billing: {err}."),
    }
    let drawn = draw::draw_from_peers(router, budget, tokens).await;
    let spent = drawn.all_answered && drawn.free == 0;
    match last_known_free(router, budget) {
        Some(0) if spent => Shortage::Spent,
        _ => Shortage::Unknown,
    }
}

/// Free tokens of a budget in the ledger, as last read; `None` while the store fails.
fn last_known_free(router: &Router, budget: &name::Name) -> Option<u64> {
    let down = router.billing.store_down.load(Ordering::Relaxed);
    (!down).then(|| router.escrow.with_account(budget, |account| account.free))
}

/// Returns the unused tokens and closes this router's record; retries until that is done.
///
/// Closing begins with a fence for this router. Once that is written, this router gives up after
/// [`MAX_CLOSE_ATTEMPTS`] attempts without success, for example when another member does not
/// answer, and leaves the rest to other routers. While requests are in flight it only returns the
/// unused tokens: a fence would stop those requests.
pub async fn settle_and_close(router: &Router) {
    let mut blocked = 0;
    while blocked < MAX_CLOSE_ATTEMPTS {
        match try_settle_and_close(router).await {
            Ok(true) => return,
            Ok(false) => blocked += u32::from(router.billing.is_fenced()),
            Err(err) => tracing::warn!("billing: {err}."),
        }
        router.runtime.timers.sleep(SETTLE_RETRY_DELAY).await;
    }
}

/// Makes one attempt to settle and close; returns whether no further attempt is needed.
async fn try_settle_and_close(router: &Router) -> Result<bool, error::Error> {
    if !router.billing.is_fenced() {
        return_unused_tokens(router).await?;
    }
    if router.in_flight.load(Ordering::Relaxed) > 0 {
        return Ok(true);
    }
    if router.escrow.reserved() > 0 && !router.billing.is_fenced() {
        return Ok(false);
    }
    router.billing.stop_for_shutdown();
    recovery::close_self(router).await
}

/// Returns all unused tokens to the ledger and writes the holder record.
async fn return_unused_tokens(router: &Router) -> Result<(), error::Error> {
    let mut changes: BTreeMap<u64, BTreeMap<name::Name, ledger_steps::Change>> = BTreeMap::new();
    for budget in router.escrow.budgets() {
        let withheld = router.escrow.with_account(&budget, |account| {
            account.withhold(u64::MAX);
            account.withheld
        });
        if withheld > 0 {
            let bucket = changes.entry(ledger::bucket_of(&budget)).or_default();
            bucket.insert(budget, ledger_steps::Change::Return(withheld));
        }
    }
    for (bucket, changes) in changes {
        let _turn = router.billing.bucket_locks[bucket as usize].lock().await;
        refill::write(router, bucket, changes).await?;
    }
    record_writer::try_flush(router).await
}
