//! Heartbeats from an agent to a bounded set of routers.

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

const BEAT_LIMIT: Duration = Duration::from_secs(2);

/// Least time between two reads of the list while all routers answer.
const CALM_LIST_PERIOD: Duration = Duration::from_secs(30);

/// Times that the list may be read more often while a router does not answer.
const TROUBLED_DIVISOR: u32 = 8;

/// What the list of VMs says about the heartbeats.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Addresses of the routers that the agent reports to.
    pub routers: Vec<name::Name>,
    beat_period: Duration,
    list_period: Duration,
}

/// Starts the heartbeats.
pub fn start(agent: Arc<Agent>) {
    let runtime = agent.runtime.clone();
    runtime.spawn(async move {
        let mut plan = Plan::default();
        let mut read_at: Option<timers::Now> = None;
        let failed = Arc::new(AtomicBool::new(false));
        loop {
            let now = agent.runtime.timers.now();
            let few = plan.routers.len() < membership::ROUTERS_PER_AGENT;
            let troubled = failed.load(Ordering::Relaxed) || few;
            let period = match troubled {
                true => membership::MIN_LIST_PERIOD.max(plan.list_period / TROUBLED_DIVISOR),
                false => plan.list_period.max(CALM_LIST_PERIOD),
            };
            if read_at.is_none_or(|at| now.saturating_sub(at) > period) {
                plan = read_plan(&agent).await.unwrap_or(plan);
                read_at = Some(now);
                failed.store(false, Ordering::Relaxed);
            }
            for address in &plan.routers {
                let beat = beat(agent.clone(), address.clone(), failed.clone());
                agent.runtime.spawn(beat);
            }
            let pause = plan.beat_period.max(membership::MIN_BEAT_PERIOD);
            agent
                .runtime
                .timers
                .sleep(agent.runtime.with_jitter(pause))
                .await;
        }
    });
}

/// Reads from the list of VMs whom to report to, and how often.
pub async fn read_plan(agent: &Agent) -> Option<Plan> {
    let read = agent.runtime.timers.within(BEAT_LIMIT, (agent.vms.read)());
    match read.await {
        Some(Ok(vms)) => Some(plan(agent, vms)),
        Some(Err(err)) => {
            tracing::warn!("beats: {err}.");
            None
        }
        None => {
            tracing::warn!("beats: the list of VMs does not answer.");
            None
        }
    }
}

fn plan(agent: &Agent, vms: Vec<vm_list::Vm>) -> Plan {
    let routers = vms.iter().filter(|vm| vm.role == vm_list::VmRole::Router);
    let routers = routers.count();
    Plan {
        beat_period: membership::beat_period(vms.len() - routers, routers),
        list_period: membership::list_period(vms.len()),
        routers: choose(agent, vms),
    }
}

fn choose(agent: &Agent, vms: Vec<vm_list::Vm>) -> Vec<name::Name> {
    let serving =
        |vm: &vm_list::Vm| vm.role == vm_list::VmRole::Router && vm.state == vm_list::VmState::Live;
    let places = vms
        .into_iter()
        .filter(serving)
        .map(|vm| membership::Location {
            address: vm.address,
            region: vm.region,
            zone: vm.zone,
        });
    let at = membership::Location {
        address: agent.member.address.clone(),
        region: agent.member.region.clone(),
        zone: agent.member.zone.clone(),
    };
    let places: Vec<_> = places.collect();
    membership::routers_for_agent(&agent.member.name, &at, &places)
}

/// Sends one heartbeat to a router; `failed` is set when it brings no answer.
pub async fn beat(agent: Arc<Agent>, address: name::Name, failed: Arc<AtomicBool>) {
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
    match timers.within(BEAT_LIMIT, sent).await {
        Some(Ok(messages::RouterReply::Beat { versions, fenced })) => {
            agent.config.fetch_max(versions.config, Ordering::Relaxed);
            agent.fence(versions.fences, &fenced);
            return;
        }
        Some(Ok(_)) => tracing::warn!("beats: unexpected reply from {address}."),
        Some(Err(err)) => tracing::debug!("beats: {address}: {err}."),
        None => tracing::debug!("beats: no answer from {address}."),
    }
    failed.store(true, Ordering::Relaxed);
}
