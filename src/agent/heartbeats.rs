//! Sends an agent's heartbeats to a bounded number of routers.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use crate::{
    agent::Agent,
    coordination::membership,
    protocol::{messages, vm_list},
    state::name,
    transport::timers,
};

/// Time limit of one heartbeat or one read of the list of VMs.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Shortest time between two reads of the list of VMs while all routers answer.
const MIN_HEALTHY_LIST_INTERVAL: Duration = Duration::from_secs(30);

/// The list of VMs is read up to this many times as often while a router does not answer or the
/// agent knows too few routers.
const UNHEALTHY_LIST_DIVISOR: u32 = 8;

/// Where the agent sends its heartbeats and how often, as derived from the list of VMs.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Addresses of the routers that receive the heartbeats.
    pub routers: Vec<name::Name>,
    heartbeat_interval: Duration,
    list_interval: Duration,
}

/// Starts the task that sends the heartbeats and keeps the plan for them up to date.
pub fn start(agent: Arc<Agent>) {
    let runtime = agent.runtime.clone();
    runtime.spawn(async move {
        let mut plan = Plan::default();
        let mut read_at: Option<timers::Now> = None;
        let failed = Arc::new(AtomicBool::new(false));
        loop {
            let now = agent.runtime.timers.now();
            let too_few_routers = plan.routers.len() < membership::ROUTERS_PER_AGENT;
            let unhealthy = failed.load(Ordering::Relaxed) || too_few_routers;
            let interval = match unhealthy {
                true => {
                    membership::MIN_LIST_INTERVAL.max(plan.list_interval / UNHEALTHY_LIST_DIVISOR)
                }
                false => plan.list_interval.max(MIN_HEALTHY_LIST_INTERVAL),
            };
            if read_at.is_none_or(|at| now.saturating_sub(at) > interval) {
                plan = read_plan(&agent).await.unwrap_or(plan);
                read_at = Some(now);
                failed.store(false, Ordering::Relaxed);
            }
            for address in &plan.routers {
                let heartbeat = send(agent.clone(), address.clone(), failed.clone());
                agent.runtime.spawn(heartbeat);
            }
            let interval = plan
                .heartbeat_interval
                .max(membership::MIN_HEARTBEAT_INTERVAL);
            agent
                .runtime
                .timers
                .sleep(agent.runtime.with_jitter(interval))
                .await;
        }
    });
}

/// Reads the list of VMs and derives the plan from it; `None` when the list cannot be read.
pub async fn read_plan(agent: &Agent) -> Option<Plan> {
    let read = agent
        .runtime
        .timers
        .within(CALL_TIMEOUT, (agent.vms.read)());
    match read.await {
        Some(Ok(vms)) => Some(make_plan(agent, vms)),
        Some(Err(err)) => {
            tracing::warn!("beats: the list of VMs could not be read: {err}.");
            None
        }
        None => {
            tracing::warn!("beats: reading the list of VMs timed out.");
            None
        }
    }
}

/// Derives the plan from the list of VMs.
fn make_plan(agent: &Agent, vms: Vec<vm_list::Vm>) -> Plan {
    let routers = vms.iter().filter(|vm| vm.role == vm_list::VmRole::Router);
    let router_count = routers.count();
    Plan {
        heartbeat_interval: membership::heartbeat_interval(vms.len() - router_count, router_count),
        list_interval: membership::list_interval(vms.len()),
        routers: choose_routers(agent, vms),
    }
}

/// Chooses the live routers that receive the heartbeats.
fn choose_routers(agent: &Agent, vms: Vec<vm_list::Vm>) -> Vec<name::Name> {
    let is_live_router =
        |vm: &vm_list::Vm| vm.role == vm_list::VmRole::Router && vm.state == vm_list::VmState::Live;
    let locations = vms
        .into_iter()
        .filter(is_live_router)
        .map(|vm| membership::Location {
            address: vm.address,
            region: vm.region,
            zone: vm.zone,
        });
    let location = membership::Location {
        address: agent.member.address.clone(),
        region: agent.member.region.clone(),
        zone: agent.member.zone.clone(),
    };
    let locations: Vec<_> = locations.collect();
    membership::routers_for_agent(&agent.member.name, &location, &locations)
}

/// Sends one heartbeat to a router and applies the versions and fences in the reply; sets `failed`
/// when no valid reply comes.
pub async fn send(agent: Arc<Agent>, address: name::Name, failed: Arc<AtomicBool>) {
    let call = messages::RouterCall::Beat(messages::AgentBeat {
        member: agent.member.clone(),
        service: agent.settings.service.clone(),
        load: agent.load(),
        versions: agent.versions(),
        models: agent.orders.models(),
        crashes: agent.crashes.report(agent.runtime.timers.now()),
        prefixes: Vec::new(),
    });
    let timers = &agent.runtime.timers;
    let sent = (agent.fleet.router)(address.clone(), call);
    match timers.within(CALL_TIMEOUT, sent).await {
        Some(Ok(messages::RouterReply::Beat { versions, fenced })) => {
            agent
                .config_version
                .fetch_max(versions.config, Ordering::Relaxed);
            agent.fence(versions.fences, &fenced);
            return;
        }
        Some(Ok(_)) => tracing::warn!("beats: unexpected reply from {address}."),
        Some(Err(err)) => tracing::debug!("beats: heartbeat to {address} failed: {err}."),
        None => tracing::debug!("beats: heartbeat to {address} timed out."),
    }
    failed.store(true, Ordering::Relaxed);
}
