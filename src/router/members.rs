//! Follows the platform's list of VMs, which only proposes: a heartbeat proves.

use std::{sync::Arc, time::Duration};

use crate::{
    protocol::vm_list,
    router::{Router, gossip},
    state::name,
};

const LIST_PERIOD: Duration = Duration::from_secs(2);
const LIST_LIMIT: Duration = Duration::from_secs(2);

/// Starts reading the list.
pub fn start(router: Arc<Router>) {
    let runtime = router.runtime.clone();
    runtime.spawn(async move {
        let ticks = router.runtime.every(LIST_PERIOD);
        loop {
            read(&router).await;
            if ticks.recv().await.is_err() {
                return;
            }
        }
    });
}

async fn read(router: &Router) {
    let read = router
        .runtime
        .timers
        .within(LIST_LIMIT, (router.vms.read)());
    let vms = match read.await {
        Some(Ok(vms)) => vms,
        Some(Err(err)) => return tracing::warn!("members: {err}."),
        None => return tracing::warn!("members: the list of VMs does not answer."),
    };
    gossip::take_list(router, &vms);
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
    roster.forget(router.runtime.timers.now());
    drop(roster);
    *router.peers.lock().unwrap() = peers;
}
