//! Heartbeats from an agent to the routers.

use std::{sync::Arc, time::Duration};

use crate::{
    agent::Agent,
    protocol::{messages, vm_list},
    state::name,
    transport::timers,
};

const BEAT_PERIOD: Duration = Duration::from_millis(500);
const BEAT_LIMIT: Duration = Duration::from_secs(2);
const LIST_PERIOD: Duration = Duration::from_secs(5);

/// Starts the heartbeats.
pub fn start(agent: Arc<Agent>) {
    let runtime = agent.runtime.clone();
    runtime.spawn(async move {
        let ticks = agent.runtime.every(BEAT_PERIOD);
        let mut routers = Vec::new();
        let mut read_at: Option<timers::Now> = None;
        while let Ok(now) = ticks.recv().await {
            if read_at.is_none_or(|at| now - at > LIST_PERIOD) || routers.is_empty() {
                routers = read_routers(&agent).await.unwrap_or(routers);
                read_at = Some(now);
            }
            for address in &routers {
                agent.runtime.spawn(beat(agent.clone(), address.clone()));
            }
        }
    });
}

/// Addresses of the routers.
pub async fn read_routers(agent: &Agent) -> Option<Vec<name::Name>> {
    match (agent.vms.read)().await {
        Ok(vms) => {
            let routers = vms
                .into_iter()
                .filter(|vm| vm.role == vm_list::VmRole::Router);
            Some(routers.map(|vm| vm.address).collect())
        }
        Err(err) => {
            tracing::warn!("beats: {err}.");
            None
        }
    }
}

/// Sends one heartbeat to a router.
pub async fn beat(agent: Arc<Agent>, address: name::Name) {
    let call = messages::RouterCall::Beat(messages::AgentBeat {
        member: agent.member.clone(),
        service: agent.settings.service.clone(),
        load: agent.load(),
        versions: agent.versions(),
        models: Vec::new(),
        crashes: agent.crashes.report(agent.runtime.timers.now()),
        prefixes: Vec::new(),
    });
    let timers = &agent.runtime.timers;
    match timers
        .within(BEAT_LIMIT, (agent.fleet.router)(address.clone(), call))
        .await
    {
        Some(Ok(messages::RouterReply::Beat { versions, fenced })) => {
            agent.fence(versions.fences, &fenced);
        }
        Some(Ok(_)) => tracing::warn!("beats: unexpected reply from {address}."),
        Some(Err(err)) => tracing::debug!("beats: {address}: {err}."),
        None => tracing::debug!("beats: no answer from {address}."),
    }
}
