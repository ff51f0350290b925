//! Heartbeats from an agent to the routers.

use std::{cell::RefCell, collections::HashMap, sync::Arc, time::Duration};

use crate::{
    agent::Agent,
    error,
    protocol::{fleet_capnp, run, vm_list},
    state::name,
    transport::{fleet_link, timers, vms, workers},
};

const BEAT_PERIOD: Duration = Duration::from_millis(500);
const BEAT_LIMIT: Duration = Duration::from_secs(2);
const LIST_PERIOD: Duration = Duration::from_secs(5);

thread_local! {
    static ROUTERS: RefCell<HashMap<name::Name, fleet_capnp::router::Client>> = RefCell::default();
}

/// Starts the heartbeats.
pub fn start(
    agent: Arc<Agent>,
    list: vms::Vms,
    key: fleet_link::FleetKey,
    workers: workers::Workers,
) {
    smol::spawn(async move {
        let ticks = agent.timers.every(BEAT_PERIOD);
        let mut routers = Vec::new();
        let mut read_at: Option<timers::Now> = None;
        while let Ok(now) = ticks.recv().await {
            if read_at.is_none_or(|at| now - at > LIST_PERIOD) || routers.is_empty() {
                routers = read_routers(&list).await.unwrap_or(routers);
                read_at = Some(now);
            }
            for (index, address) in routers.iter().enumerate() {
                let (agent, key, address) = (agent.clone(), key.clone(), address.clone());
                let _ = workers.run(index, move |local| {
                    let executor = local.clone();
                    executor
                        .spawn(async move { beat(&agent, &key, &address, &local).await })
                        .detach();
                });
            }
        }
    })
    .detach();
}

async fn read_routers(list: &vms::Vms) -> Option<Vec<name::Name>> {
    match list.read().await {
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

async fn beat(agent: &Agent, key: &[u8], address: &name::Name, local: &workers::Local) {
    let sent = timers::within(BEAT_LIMIT, try_beat(agent, key, address, local)).await;
    if !matches!(sent, Some(Ok(()))) {
        tracing::debug!("beats: no answer from {address}.");
        ROUTERS.with_borrow_mut(|routers| routers.remove(address));
    }
}

async fn try_beat(
    agent: &Agent,
    key: &[u8],
    address: &name::Name,
    local: &workers::Local,
) -> Result<(), error::Error> {
    let known = ROUTERS.with_borrow(|routers| routers.get(address).cloned());
    let router = match known {
        Some(router) => router,
        None => {
            let router: fleet_capnp::router::Client =
                fleet_link::connect(address, key, local).await?;
            ROUTERS.with_borrow_mut(|routers| routers.insert(address.clone(), router.clone()));
            router
        }
    };
    let mut message = router.beat_request();
    let mut beat = message.get().init_beat();
    run::write_member(&agent.member, beat.reborrow().init_member());
    beat.set_service(&*agent.settings.service);
    let mut load = beat.reborrow().init_load();
    load.set_running(agent.running());
    load.set_slots(agent.settings.slots);
    load.set_draining(agent.is_draining());
    let config = agent.config.load(std::sync::atomic::Ordering::Relaxed);
    beat.init_versions().set_config(config);
    message.send().promise.await?;
    Ok(())
}
