//! Reserves tokens for requests and keeps the router's grants at the size of its demand.

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
    coordination::{demand, refill as steps},
    error,
    router::{Router, draw, gossip, record_writer, recovery, refill},
    state::{holder_record, ledger, member, name},
};

const TICK: Duration = Duration::from_secs(1);

/// Records that the whole fleet writes in a second, at most.
const RECORDS_PER_SECOND: u32 = 100;

/// Longest time that a request waits for reservations about to settle.
const WAIT_LIMIT: Duration = Duration::from_secs(2);

const WAIT_POLL: Duration = Duration::from_millis(50);

/// Time between two tries of a leaving router to settle.
const SETTLE_POLL: Duration = Duration::from_millis(500);

/// Tries of a leaving router to close its record while a member is silent.
const CLOSING_TRIES: u32 = 5;

/// What billing remembers between calls.
///
/// Lock order: a bucket, `flushing`, `promised`, `written`; `pending` alone.
#[derive(Debug)]
pub struct Billing {
    /// Serialises the writes of each bucket.
    pub buckets: Vec<smol::lock::Mutex<()>>,
    /// Tokens that requests wait for, by budget.
    pub pending: Mutex<BTreeMap<name::Name, u64>>,
    /// Serialises the writes of the holder's record.
    pub flushing: smol::lock::Mutex<()>,
    /// Revision of the holder's record; zero before the first write.
    pub revision: AtomicU64,
    /// Whether the record exists and the fences written before it are known.
    pub ready: AtomicBool,
    /// Record last known to be written.
    pub written: Mutex<Option<holder_record::HolderRecord>>,
    /// Holders that this router trades no tokens with any more.
    pub promised: RwLock<BTreeSet<member::Incarnation>>,
    /// Whether the store failed at the last call.
    pub store_down: AtomicBool,
    /// Incarnations of peers by address.
    pub peers: Mutex<BTreeMap<name::Name, member::Incarnation>>,
    fenced: AtomicBool,
}

impl Default for Billing {
    fn default() -> Self {
        let buckets = (0..ledger::BUCKETS).map(|_| smol::lock::Mutex::new(()));
        Self {
            buckets: buckets.collect(),
            pending: Mutex::default(),
            flushing: smol::lock::Mutex::new(()),
            revision: AtomicU64::new(0),
            ready: AtomicBool::new(false),
            written: Mutex::default(),
            promised: RwLock::default(),
            store_down: AtomicBool::new(false),
            peers: Mutex::default(),
            fenced: AtomicBool::new(false),
        }
    }
}

impl Billing {
    /// Highest receipt number of an agent up to which all are durable.
    pub fn acknowledged_receipt(&self, agent: member::Incarnation) -> u64 {
        let written = self.written.lock().unwrap();
        let covered = written.as_ref().and_then(|w| w.covered.get(&agent));
        covered.map_or(0, |covered| covered.through)
    }

    /// Whether other routers settle the tokens of this incarnation.
    pub fn is_fenced(&self) -> bool {
        self.fenced.load(Ordering::Relaxed)
    }

    /// Spends no more from now on, because this router leaves and closes its own record.
    fn end(&self) {
        self.fenced.store(true, Ordering::Relaxed);
    }

    /// Spends no more from now on, because other routers have fenced this one.
    pub fn stop(&self) {
        if !self.fenced.swap(true, Ordering::Relaxed) {
            tracing::error!("billing: this router is fenced and takes no more requests.");
        }
    }
}

/// Starts the upkeep of grants and of the holder's record.
pub fn start(router: Arc<Router>) {
    let runtime = router.runtime.clone();
    runtime.spawn(async move {
        let mut rng = router.runtime.rng();
        while !router.billing.is_fenced() {
            record_writer::flush(&router).await;
            if !router.billing.is_fenced() && !router.leaving.load(Ordering::Relaxed) {
                upkeep(&router).await;
            }
            let spread = 0.9 + 0.2 * rng.f64();
            let pause = upkeep_period(gossip::fleet_size(&router)).mul_f64(spread);
            router.runtime.timers.sleep(pause).await;
        }
    });
}

/// Time between two writes of a record, so that a fleet of any size makes a bounded number.
fn upkeep_period(routers: usize) -> Duration {
    TICK.max(Duration::from_secs(routers as u64) / RECORDS_PER_SECOND)
}

/// Grants ahead of the demand and returns what is idle, with one write per bucket.
async fn upkeep(router: &Router) {
    let now = router.runtime.timers.now();
    let mut changes: BTreeMap<u64, BTreeMap<name::Name, steps::Change>> = BTreeMap::new();
    for budget in router.escrow.budgets() {
        if let Some(change) = wanted_change(router, &budget, now) {
            let bucket = changes.entry(ledger::bucket_of(&budget)).or_default();
            bucket.insert(budget, change);
        }
    }
    for (bucket, changes) in changes {
        let _turn = router.billing.buckets[bucket as usize].lock().await;
        if refill::write(router, bucket, changes).await.is_err() {
            return;
        }
    }
}

fn wanted_change(router: &Router, budget: &name::Name, now: Duration) -> Option<steps::Change> {
    let config = router.config();
    let object = config.config.set.budgets.get(budget)?;
    let autonomy = Duration::from_secs(object.autonomy_seconds);
    router.escrow.with(budget, |account| {
        account.demand.note(account.asked, now);
        account.asked = 0;
        let target = account.demand.target(autonomy);
        let available = account.available();
        account.withhold(demand::idle(available, target));
        if account.withheld > 0 {
            return Some(steps::Change::Return(account.withheld));
        }
        let missing = demand::missing(available, target);
        let low = missing > 0 && account.free > 0;
        low.then_some(steps::Change::Grant { needed: 0, missing })
    })
}

/// Sets tokens aside; draws from the ledger and from peers when the router has too few, and
/// waits a little for reservations that are about to settle.
///
/// # Errors
///
/// [`Code::BudgetSpent`] when the budget is spent, [`Code::BudgetUnreachable`] when tokens are
/// left that this router cannot reach now.
pub async fn reserve(router: &Router, budget: &name::Name, tokens: u64) -> Result<(), Code> {
    if router.billing.is_fenced() {
        return Err(Code::NotReady);
    }
    if router.escrow.reserve(budget, tokens).is_ok() {
        return Ok(());
    }
    let start = router.runtime.timers.now();
    let found = loop {
        let found = fetch(router, budget, tokens).await;
        let Err(short) = router.escrow.reserve(budget, tokens) else {
            return Ok(());
        };
        let waited = router.runtime.timers.now().saturating_sub(start);
        let settling = short.available + short.reserved >= tokens;
        let more = left_free(router, budget).is_some_and(|free| free > 0);
        if waited >= WAIT_LIMIT || !(settling || more) {
            break if more { Found::Unknown } else { found };
        }
        counter!("fulmar_reserve_waits").increment(1);
        if !more {
            router.runtime.timers.sleep(WAIT_POLL).await;
        }
    };
    match found {
        Found::Nothing => Err(Code::BudgetSpent),
        Found::Unknown => Err(Code::BudgetUnreachable),
    }
}

/// What a search for tokens showed of the rest.
enum Found {
    Nothing,
    Unknown,
}

/// Fetches missing tokens from the ledger and from peers; from peers first while the store fails.
async fn fetch(router: &Router, budget: &name::Name, tokens: u64) -> Found {
    if router.billing.store_down.load(Ordering::Relaxed)
        && draw::draw_from_peers(router, budget, tokens).await.enough
    {
        return Found::Unknown;
    }
    let left = refill::request_grant(router, budget, tokens).await;
    let enough = router.escrow.with(budget, |a| a.available()) >= tokens;
    match left {
        _ if enough => return Found::Unknown,
        Ok(0) => return Found::Nothing,
        Ok(_) => {}
        Err(err) => tracing::warn!("billing: {err}."),
    }
    let drawn = draw::draw_from_peers(router, budget, tokens).await;
    let spent = drawn.everything && drawn.free == 0;
    match left_free(router, budget) {
        Some(0) if spent => Found::Nothing,
        _ => Found::Unknown,
    }
}

/// Free tokens of a budget as last read; `None` while the store fails.
fn left_free(router: &Router, budget: &name::Name) -> Option<u64> {
    let down = router.billing.store_down.load(Ordering::Relaxed);
    (!down).then(|| router.escrow.with(budget, |account| account.free))
}

/// Settles for good: returns the tokens, then closes the own record; tries until that is done.
///
/// Once the fence is written, other routers go on when a member that has to promise is silent.
/// Ends at once, with the tokens returned, while requests are in flight: a fence would stop them.
pub async fn settle_and_close(router: &Router) {
    let mut blocked = 0;
    while blocked < CLOSING_TRIES {
        match try_settle(router).await {
            Ok(true) => return,
            Ok(false) => blocked += u32::from(router.billing.is_fenced()),
            Err(err) => tracing::warn!("billing: {err}."),
        }
        router.runtime.timers.sleep(SETTLE_POLL).await;
    }
}

/// One try to settle; returns whether there is nothing left to try.
async fn try_settle(router: &Router) -> Result<bool, error::Error> {
    if !router.billing.is_fenced() {
        hand_back(router).await?;
    }
    if router.in_flight.load(Ordering::Relaxed) > 0 {
        return Ok(true);
    }
    if router.escrow.reserved() > 0 && !router.billing.is_fenced() {
        return Ok(false);
    }
    router.billing.end();
    recovery::close_self(router).await
}

/// Returns every token that is not needed any more and writes the last record.
async fn hand_back(router: &Router) -> Result<(), error::Error> {
    let mut changes: BTreeMap<u64, BTreeMap<name::Name, steps::Change>> = BTreeMap::new();
    for budget in router.escrow.budgets() {
        let withheld = router.escrow.with(&budget, |account| {
            account.withhold(u64::MAX);
            account.withheld
        });
        if withheld > 0 {
            let bucket = changes.entry(ledger::bucket_of(&budget)).or_default();
            bucket.insert(budget, steps::Change::Return(withheld));
        }
    }
    for (bucket, changes) in changes {
        let _turn = router.billing.buckets[bucket as usize].lock().await;
        refill::write(router, bucket, changes).await?;
    }
    record_writer::try_flush(router).await
}
