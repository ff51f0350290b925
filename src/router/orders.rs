//! Coordinates the orders of pools: one router per pool at a time, by a lease in the store.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use crate::{
    code::Code,
    coordination::orders,
    error,
    protocol::messages,
    router::{Router, gossip},
    state::{name, pool},
    transport::{store, timers},
};

const ORDER_PERIOD: Duration = Duration::from_secs(1);
const LEASE_SECONDS: u64 = 15;
const STORE_LIMIT: Duration = Duration::from_secs(3);
const ORDER_LIMIT: Duration = Duration::from_secs(130);

/// Pause before a router tries again to become the coordinator.
const RETRY_AFTER: Duration = Duration::from_secs(15);

/// Time for which an engine that failed an order gets none.
const PASS_OVER: Duration = Duration::from_secs(30);

/// Time for which an engine that carried out an order gets no other: its heartbeat lags.
const REPORT_DELAY: Duration = Duration::from_secs(5);

/// The pools that a router coordinates.
#[derive(Debug, Default)]
struct Coordination {
    lease: u64,
    fencing: BTreeMap<name::Name, u64>,
    try_after: BTreeMap<name::Name, timers::Now>,
    passed_over: BTreeMap<name::Name, timers::Now>,
}

/// Starts giving orders.
pub fn start(router: Arc<Router>) {
    let runtime = router.runtime.clone();
    runtime.spawn(async move {
        let ticks = router.runtime.every(ORDER_PERIOD);
        let mut held = Coordination::default();
        while ticks.recv().await.is_ok() {
            if gossip::watches_store(&router) {
                give(&router, &mut held).await;
            }
        }
    });
}

/// Gives at most one order per pool, and waits for its result.
async fn give(router: &Arc<Router>, held: &mut Coordination) {
    let set = router.config().config.set.clone();
    let ordered = |pool: &&pool::Pool| !pool.models.is_empty();
    let mut given = Vec::new();
    for pool in set.pools.values().filter(ordered) {
        let Some(step) = next(router, held, pool) else {
            continue;
        };
        match coordinate(router, held, &pool.name).await {
            Ok(Some(fencing)) => given.push(order(router, pool, step, fencing)),
            Ok(None) => {}
            Err(err) => tracing::warn!("orders: pool {}: {err}.", pool.name),
        }
    }
    for (pool, step, result) in futures::future::join_all(given).await {
        conclude(router, held, pool, &step, &result);
    }
}

fn next(router: &Router, held: &Coordination, pool: &pool::Pool) -> Option<orders::Step> {
    let now = router.runtime.timers.now();
    let beats = gossip::fresh_heartbeats(router);
    let inside = beats
        .into_iter()
        .filter(|beat| pool.services.contains(&beat.service));
    let engines: Vec<_> = inside
        .map(|beat| orders::Engine {
            name: beat.member.name,
            address: beat.member.address,
            serving: !beat.load.draining && !beat.load.down,
            models: beat.models.into_iter().collect(),
        })
        .collect();
    let passed = held.passed_over.iter().filter(|(_, until)| **until > now);
    let passed: BTreeSet<_> = passed.map(|(name, _)| name.clone()).collect();
    orders::next(pool, &engines, &passed)
}

/// Becomes or stays the coordinator of a pool and returns the fencing number.
///
/// The lease is proved before each order, so that a router that was paused finds out.
async fn coordinate(
    router: &Router,
    held: &mut Coordination,
    pool: &name::Name,
) -> Result<Option<u64>, error::Error> {
    let now = router.runtime.timers.now();
    if held.try_after.get(pool).is_some_and(|after| *after > now) {
        return Ok(None);
    }
    if !prove_lease(router, held).await? {
        return Ok(None);
    }
    if let Some(fencing) = held.fencing.get(pool) {
        return Ok(Some(*fencing));
    }
    let key = format!("{}{pool}", store::ORDER_PREFIX);
    let own = orders::Coordinator {
        name: router.member.name.clone(),
        incarnation: router.member.incarnation,
    };
    let put = router.store.put_if(&key, &own, 0, held.lease);
    match bounded(router, put).await? {
        store::Put::Written(revision) => {
            tracing::info!("orders: this router coordinates pool {pool} as number {revision}.");
            held.fencing.insert(pool.clone(), revision);
            Ok(Some(revision))
        }
        store::Put::Conflict(_) => {
            held.try_after.insert(pool.clone(), now + RETRY_AFTER);
            Ok(None)
        }
    }
}

async fn bounded<T>(
    router: &Router,
    call: impl Future<Output = Result<T, error::Error>>,
) -> Result<T, error::Error> {
    let ended = router.runtime.timers.within(STORE_LIMIT, call).await;
    ended.unwrap_or_else(|| {
        Err(error::Error::Store {
            call: "put",
            message: format!("no answer within {} s", STORE_LIMIT.as_secs()),
        })
    })
}

/// Keeps the lease, or takes a new one and gives up everything held by the old.
async fn prove_lease(router: &Router, held: &mut Coordination) -> Result<bool, error::Error> {
    if held.lease != 0 && bounded(router, router.store.keep_lease(held.lease)).await? {
        return Ok(true);
    }
    held.fencing.clear();
    held.lease = 0;
    held.lease = bounded(router, router.store.grant_lease(LEASE_SECONDS)).await?;
    Ok(held.lease != 0)
}

async fn order<'a>(
    router: &Arc<Router>,
    pool: &'a pool::Pool,
    step: orders::Step,
    fencing: u64,
) -> (&'a name::Name, orders::Step, messages::OrderResult) {
    let call = messages::AgentCall::Order(messages::Order {
        pool: pool.name.clone(),
        fencing,
        action: step.action.to_owned(),
        subject: step.subject.to_string(),
        version: String::new(),
        checked: pool.checks_fencing,
    });
    let asked = (router.fleet.agent)(step.address.clone(), call);
    let asked = router.runtime.timers.within(ORDER_LIMIT, asked).await;
    let failed = |message: String| messages::OrderResult {
        code: Code::AgentLost,
        newest: 0,
        message,
    };
    let result = match asked {
        Some(Ok(messages::AgentReply::Ordered(result))) => result,
        Some(Ok(_)) => failed("unexpected reply".to_owned()),
        Some(Err(err)) => failed(err.to_string()),
        None => failed("no answer".to_owned()),
    };
    (&pool.name, step, result)
}

fn conclude(
    router: &Router,
    held: &mut Coordination,
    pool: &name::Name,
    step: &orders::Step,
    result: &messages::OrderResult,
) {
    let now = router.runtime.timers.now();
    let orders::Step {
        engine,
        action,
        subject,
        ..
    } = step;
    let passed_over = &mut held.passed_over;
    if result.code == Code::Ok {
        passed_over.insert(engine.clone(), now + REPORT_DELAY);
        return tracing::info!("orders: {engine} did {action} {subject}.");
    }
    tracing::warn!(
        "orders: {engine} did not {action} {subject}: {}.",
        result.message
    );
    if result.code == Code::Fenced {
        held.fencing.remove(pool);
        held.try_after.insert(pool.clone(), now + RETRY_AFTER);
        return;
    }
    passed_over.insert(engine.clone(), now + PASS_OVER);
}
