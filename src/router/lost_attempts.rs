//! Resolves attempts whose outcome did not reach this router, by asking their agents.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use metrics::counter;

use crate::{
    protocol::{messages, vm_list},
    router::{Router, registry, request, target},
    state::{member, name, receipt},
    transport::timers,
};

/// Time between two rounds of questions.
const RESOLVE_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait for the answer of an agent or the list of VMs.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// An attempt that may have run; its tokens stay reserved until that is known.
#[derive(Clone, Debug)]
struct LostAttempt {
    agent: member::Member,
    _guard: registry::AttemptGuard,
    request: name::Name,
    budget: name::Name,
    bound: u64,
    /// Deadline of the request; from then on the attempt may be cancelled.
    deadline: timers::Now,
}

/// The lost attempts of a router.
#[derive(Debug, Default)]
pub struct LostAttempts {
    lost: Mutex<Vec<LostAttempt>>,
}

/// Whether an agent incarnation still answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The incarnation answers.
    Same,
    /// Another incarnation has taken its place, or its VM is gone.
    Replaced,
    /// Nobody answers, but the VM may still run.
    Silent,
}

/// Keeps the reservation of an attempt until its outcome is known.
pub fn track(router: &Router, req: &request::Request, target: &target::Target) {
    let lost = LostAttempt {
        agent: target.member.clone(),
        _guard: target.guard.clone(),
        request: req.id.clone(),
        budget: req.budget.clone(),
        bound: req.bound,
        deadline: router.runtime.timers.now() + req.deadline,
    };
    counter!("fulmar_lost_attempts").increment(1);
    router.lost_attempts.lost.lock().unwrap().push(lost);
}

/// Starts the task that resolves lost attempts.
pub fn start(router: Arc<Router>) {
    let runtime = router.runtime.clone();
    runtime.spawn(async move {
        let ticks = router.runtime.every(RESOLVE_INTERVAL);
        while ticks.recv().await.is_ok() {
            resolve_all(&router).await;
        }
    });
}

/// Resolves the lost attempts agent by agent.
async fn resolve_all(router: &Router) {
    let lost = std::mem::take(&mut *router.lost_attempts.lost.lock().unwrap());
    let mut by_agent: BTreeMap<member::Incarnation, Vec<LostAttempt>> = BTreeMap::new();
    for lost in lost {
        by_agent
            .entry(lost.agent.incarnation)
            .or_default()
            .push(lost);
    }
    for lost in by_agent.into_values() {
        let unresolved = resolve_at_agent(router, lost).await;
        router.lost_attempts.lost.lock().unwrap().extend(unresolved);
    }
}

/// Resolves the attempts at one agent; returns those whose outcome is still unknown.
///
/// If the agent has been replaced, their tokens count as spent in full. Otherwise receipts are
/// settled, and the reservation of a cancelled attempt that no longer runs is released.
async fn resolve_at_agent(router: &Router, lost: Vec<LostAttempt>) -> Vec<LostAttempt> {
    let agent = lost[0].agent.clone();
    match check_presence(router, &agent).await {
        Presence::Replaced => {
            for lost in &lost {
                router.escrow.write_off(&lost.budget, lost.bound);
                counter!("fulmar_written_off_tokens").increment(lost.bound);
            }
            return Vec::new();
        }
        Presence::Silent => return lost,
        Presence::Same => {}
    }
    let now = router.runtime.timers.now();
    let mut cancelled = Vec::new();
    for lost in lost.iter().filter(|lost| lost.deadline <= now) {
        if cancel(router, lost).await {
            cancelled.push(lost.request.clone());
        }
    }
    let holder = router.member.incarnation;
    let after = router.escrow.covered_through(agent.incarnation);
    let Some(receipts) = fetch_receipts(router, &agent, holder, after).await else {
        return lost;
    };
    for receipt in receipts.iter().filter(|receipt| receipt.is_charged()) {
        if router.escrow.count_receipt(agent.incarnation, receipt) {
            counter!("fulmar_synced_receipts").increment(1);
        }
    }
    let runs = |request: &name::Name| {
        let mut open = receipts.iter().filter(|receipt| !receipt.is_charged());
        open.any(|receipt| receipt.request == *request)
    };
    let (done, unresolved) = lost
        .into_iter()
        .partition::<Vec<_>, _>(|l| cancelled.contains(&l.request) && !runs(&l.request));
    for lost in done {
        router.escrow.release(&lost.budget, lost.bound);
    }
    unresolved
}

/// Cancels all attempts of a request at the agent; returns whether the agent answered.
///
/// Afterwards the agent begins no attempt of that request.
async fn cancel(router: &Router, lost: &LostAttempt) -> bool {
    let call = messages::AgentCall::Cancel {
        agent: lost.agent.incarnation,
        id: lost.request.clone(),
        attempt: 0,
    };
    let reply = (router.fleet.agent)(lost.agent.address.clone(), call);
    let answer = router.runtime.timers.within(CALL_TIMEOUT, reply).await;
    matches!(answer, Some(Ok(_)))
}

/// Fetches a holder's receipts after a number from an agent; `None` without an answer.
pub async fn fetch_receipts(
    router: &Router,
    agent: &member::Member,
    holder: member::Incarnation,
    after: u64,
) -> Option<Vec<receipt::Receipt>> {
    let call = messages::AgentCall::Receipts {
        agent: agent.incarnation,
        holder,
        after,
    };
    let reply = (router.fleet.agent)(agent.address.clone(), call);
    match router.runtime.timers.within(CALL_TIMEOUT, reply).await {
        Some(Ok(messages::AgentReply::Receipts(receipts))) => Some(receipts),
        _ => None,
    }
}

/// Checks whether an agent incarnation still answers.
pub async fn check_presence(router: &Router, agent: &member::Member) -> Presence {
    let call = messages::AgentCall::Ping {
        versions: messages::Versions::default(),
    };
    let reply = (router.fleet.agent)(agent.address.clone(), call);
    match router.runtime.timers.within(CALL_TIMEOUT, reply).await {
        Some(Ok(messages::AgentReply::Pong { member, .. })) => {
            match member.incarnation == agent.incarnation {
                true => Presence::Same,
                false => Presence::Replaced,
            }
        }
        _ if is_removed(router, agent, vm_list::VmRole::Agent).await => Presence::Replaced,
        _ => Presence::Silent,
    }
}

/// Whether the list of VMs has named a member and no longer does.
///
/// The list lags: a VM that it has never named may already run.
async fn is_removed(router: &Router, member: &member::Member, role: vm_list::VmRole) -> bool {
    let was_named = router.listed.lock().unwrap().was_listed(&member.name);
    was_named && is_unlisted(router, member, role).await
}

/// Whether the list of VMs does not name a member now; false when the list is empty or unreadable.
pub async fn is_unlisted(router: &Router, member: &member::Member, role: vm_list::VmRole) -> bool {
    let read = (router.vms.read)();
    let Some(Ok(vms)) = router.runtime.timers.within(CALL_TIMEOUT, read).await else {
        return false;
    };
    let mut listed = vms.iter().filter(|vm| vm.role == role);
    !vms.is_empty() && !listed.any(|vm| vm.name == member.name || vm.address == member.address)
}
