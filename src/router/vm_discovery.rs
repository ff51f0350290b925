//! Reads the platform's list of VMs.
//!
//! The list may lag. It tells where to look for members and which ones are leaving; only a
//! heartbeat or an answer shows that a member is alive.

use std::{sync::Arc, time::Duration};

use crate::{
    coordination::membership,
    protocol::vm_list,
    router::{Router, gossip},
    state::name,
};

/// Longest wait for the list.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Starts the task that reads the list.
pub fn start(router: Arc<Router>) {
    let runtime = router.runtime.clone();
    runtime.spawn(async move {
        loop {
            let vms = read_list(&router).await.unwrap_or(0);
            let interval = router.runtime.with_jitter(membership::list_interval(vms));
            router.runtime.timers.sleep(interval).await;
        }
    });
}

/// Reads the list once and passes it on; returns its length, `None` when the read fails.
async fn read_list(router: &Router) -> Option<usize> {
    let read = router
        .runtime
        .timers
        .within(LIST_TIMEOUT, (router.vms.read)());
    let vms = match read.await {
        Some(Ok(vms)) => vms,
        Some(Err(err)) => {
            tracing::warn!("members: {err}.");
            return None;
        }
        None => {
            tracing::warn!("members: reading the list of VMs timed out.");
            return None;
        }
    };
    gossip::update_listed_routers(router, &vms);
    let names = vms.iter().map(|vm| &vm.name);
    router.listed.lock().unwrap().add(names);
    let others = vms
        .iter()
        .filter(|vm| vm.role == vm_list::VmRole::Router && vm.address != router.member.address);
    let peers: Vec<name::Name> = others.map(|vm| vm.address.clone()).collect();
    let leaving = vms
        .iter()
        .filter(|vm| vm.state == vm_list::VmState::Leaving);
    let leaving = leaving.map(|vm| (vm.name.clone(), vm.address.clone()));
    let mut roster = router.roster.lock().unwrap();
    roster.set_leaving(leaving.collect());
    let agents = vms.iter().filter(|vm| vm.role == vm_list::VmRole::Agent);
    let heartbeat_max_age = membership::heartbeat_max_age(agents.count(), peers.len() + 1);
    roster.set_heartbeat_max_age(heartbeat_max_age);
    roster.remove_silent(router.runtime.timers.now());
    drop(roster);
    *router.peers.lock().unwrap() = peers;
    Some(vms.len())
}
