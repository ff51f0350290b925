//! Gives orders to the engines of pools.
//!
//! A lease in the store makes one router at a time the coordinator of a pool. Agents refuse orders
//! with an outdated fencing number.

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

/// Time between two rounds of orders.
const ORDER_INTERVAL: Duration = Duration::from_secs(1);
/// Time to live of the coordinator's lease.
const LEASE_TTL_SECONDS: u64 = 15;
/// Longest wait for one answer of the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest wait for the result of an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(130);

/// Delay before a router tries again to become the coordinator of a pool.
const COORDINATOR_RETRY_DELAY: Duration = Duration::from_secs(15);

/// Time for which an engine that failed an order gets no other.
const FAILED_ENGINE_RETRY_DELAY: Duration = Duration::from_secs(30);

/// Time for which an engine that carried out an order gets no other: until its heartbeat arrives,
/// this router does not know the new state.
const ORDERED_ENGINE_DELAY: Duration = Duration::from_secs(5);

/// The pools that a router coordinates.
#[derive(Debug, Default)]
struct Coordination {
    /// Id of the lease; zero without one.
    lease: u64,
    /// Fencing number of each coordinated pool.
    fencing: BTreeMap<name::Name, u64>,
    /// Earliest time to try again to coordinate a pool.
    retry_at: BTreeMap<name::Name, timers::Now>,
    /// Time until which an engine gets no orders.
    excluded_until: BTreeMap<name::Name, timers::Now>,
}

/// Starts the task that gives orders; only routers that watch the store give any.
pub fn start(router: Arc<Router>) {
    let runtime = router.runtime.clone();
    runtime.spawn(async move {
        let ticks = router.runtime.every(ORDER_INTERVAL);
        let mut coordination = Coordination::default();
        while ticks.recv().await.is_ok() {
            if gossip::is_store_watcher(&router) {
                issue_orders(&router, &mut coordination).await;
            }
        }
    });
}

/// Gives at most one order per pool, to all pools at once, and waits for the results.
async fn issue_orders(router: &Arc<Router>, coordination: &mut Coordination) {
    let set = router.config().config.set.clone();
    let ordered = |pool: &&pool::Pool| !pool.models.is_empty();
    let mut given = Vec::new();
    for pool in set.pools.values().filter(ordered) {
        let Some(step) = next_step(router, coordination, pool) else {
            continue;
        };
        match coordinate_pool(router, coordination, &pool.name).await {
            Ok(Some(fencing)) => given.push(send_order(router, pool, step, fencing)),
            Ok(None) => {}
            Err(err) => tracing::warn!("orders: pool {}: {err}.", pool.name),
        }
    }
    for (pool, step, result) in futures::future::join_all(given).await {
        handle_result(router, coordination, pool, &step, &result);
    }
}

/// Next order of a pool, if one is due.
fn next_step(
    router: &Router,
    coordination: &Coordination,
    pool: &pool::Pool,
) -> Option<orders::Step> {
    let now = router.runtime.timers.now();
    let heartbeats = gossip::fresh_heartbeats(router);
    let inside = heartbeats
        .into_iter()
        .filter(|heartbeat| pool.services.contains(&heartbeat.service));
    let engines: Vec<_> = inside
        .map(|heartbeat| orders::Engine {
            name: heartbeat.member.name,
            address: heartbeat.member.address,
            serving: !heartbeat.load.draining && !heartbeat.load.down,
            models: heartbeat.models.into_iter().collect(),
        })
        .collect();
    let excluded = coordination
        .excluded_until
        .iter()
        .filter(|(_, until)| **until > now);
    let excluded: BTreeSet<_> = excluded.map(|(name, _)| name.clone()).collect();
    orders::next(pool, &engines, &excluded)
}

/// Becomes or stays the coordinator of a pool and returns the fencing number.
///
/// Returns `None` when this router is not the coordinator. The lease is renewed before each order,
/// so that a router that was paused notices that it has lost the lease.
async fn coordinate_pool(
    router: &Router,
    coordination: &mut Coordination,
    pool: &name::Name,
) -> Result<Option<u64>, error::Error> {
    let now = router.runtime.timers.now();
    if coordination.retry_at.get(pool).is_some_and(|at| *at > now) {
        return Ok(None);
    }
    if !renew_lease(router, coordination).await? {
        return Ok(None);
    }
    if let Some(fencing) = coordination.fencing.get(pool) {
        return Ok(Some(*fencing));
    }
    let key = format!("{}{pool}", store::ORDER_PREFIX);
    let own = orders::Coordinator {
        name: router.member.name.clone(),
        incarnation: router.member.incarnation,
    };
    let put = router.store.put_if(&key, &own, 0, coordination.lease);
    match with_timeout(router, put).await? {
        store::Put::Written(revision) => {
            tracing::info!(
                "orders: this router coordinates pool {pool} with fencing number {revision}."
            );
            coordination.fencing.insert(pool.clone(), revision);
            Ok(Some(revision))
        }
        store::Put::Conflict(_) => {
            coordination
                .retry_at
                .insert(pool.clone(), now + COORDINATOR_RETRY_DELAY);
            Ok(None)
        }
    }
}

/// Runs a call of the store with a timeout.
async fn with_timeout<T>(
    router: &Router,
    call: impl Future<Output = Result<T, error::Error>>,
) -> Result<T, error::Error> {
    let ended = router.runtime.timers.within(STORE_TIMEOUT, call).await;
    ended.unwrap_or_else(|| {
        Err(error::Error::Store {
            call: "put",
            message: format!("no answer within {} s", STORE_TIMEOUT.as_secs()),
        })
    })
}

/// Renews the lease; if it has ended, takes a new one and gives up all pools held by the old one.
async fn renew_lease(
    router: &Router,
    coordination: &mut Coordination,
) -> Result<bool, error::Error> {
    if coordination.lease != 0
        && with_timeout(router, router.store.keep_lease(coordination.lease)).await?
    {
        return Ok(true);
    }
    coordination.fencing.clear();
    coordination.lease = 0;
    coordination.lease = with_timeout(router, router.store.grant_lease(LEASE_TTL_SECONDS)).await?;
    Ok(coordination.lease != 0)
}

/// Sends an order to the agent beside an engine and waits for the result.
async fn send_order<'a>(
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
    let reply = (router.fleet.agent)(step.address.clone(), call);
    let reply = router.runtime.timers.within(ORDER_TIMEOUT, reply).await;
    let failed = |message: String| messages::OrderResult {
        code: Code::AgentLost,
        newest: 0,
        message,
    };
    let result = match reply {
        Some(Ok(messages::AgentReply::Ordered(result))) => result,
        Some(Ok(_)) => failed("unexpected reply".to_owned()),
        Some(Err(err)) => failed(err.to_string()),
        None => failed("no answer".to_owned()),
    };
    (&pool.name, step, result)
}

/// Logs the result of an order and decides when the engine or the pool gets the next one.
fn handle_result(
    router: &Router,
    coordination: &mut Coordination,
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
    let excluded_until = &mut coordination.excluded_until;
    excluded_until.retain(|_, until| now < *until);
    if result.code == Code::Ok {
        excluded_until.insert(engine.clone(), now + ORDERED_ENGINE_DELAY);
        return tracing::info!("orders: {engine} carried out {action} {subject}.");
    }
    tracing::warn!(
        "orders: {engine} did not carry out {action} {subject}: {}.",
        result.message
    );
    if result.code == Code::Fenced {
        coordination.fencing.remove(pool);
        coordination
            .retry_at
            .insert(pool.clone(), now + COORDINATOR_RETRY_DELAY);
        return;
    }
    excluded_until.insert(engine.clone(), now + FAILED_ENGINE_RETRY_DELAY);
}
