//! Follows the platform's list of VMs.

use std::{sync::Arc, time::Duration};

use crate::{protocol::vm_list, router::Router, state::name};

const LIST_PERIOD: Duration = Duration::from_secs(2);

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
    let vms = match (router.vms.read)().await {
        Ok(vms) => vms,
        Err(err) => return tracing::warn!("members: {err}."),
    };
    let others = vms
        .iter()
        .filter(|vm| vm.role == vm_list::VmRole::Router && vm.address != router.member.address);
    let peers: Vec<name::Name> = others.map(|vm| vm.address.clone()).collect();
    *router.peers.lock().unwrap() = peers;
    let mut roster = router.roster.lock().unwrap();
    for vm in vms
        .iter()
        .filter(|vm| vm.state == vm_list::VmState::Leaving)
    {
        roster.suspect(&vm.name);
    }
    roster.forget(router.runtime.timers.now());
}
