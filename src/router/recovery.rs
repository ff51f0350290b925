//! Finds dead holders, fences them and closes their records.
//!
//! Any router may do this, and continue what another one began.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use crate::{
    error,
    protocol::{kv, vm_list},
    router::{Router, closing, draw, fencing, lost_attempts, record_writer},
    state::{holder_record, member},
    transport::{store, timers},
};

/// Time between two passes.
const PASS_INTERVAL: Duration = Duration::from_secs(3);
/// Longest wait for the list of VMs.
const VM_LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time of one pass.
const PASS_TIMEOUT: Duration = Duration::from_secs(60);

/// Time without a new record after which a holder is asked whether it is alive.
const RECORD_MAX_AGE: Duration = Duration::from_secs(6);

/// Silence after which a holder is fenced even though the list of VMs still names it.
const LISTED_RECORD_MAX_AGE: Duration = Duration::from_secs(4 * 3600);

/// When the other holders last showed that they are alive.
#[derive(Debug, Default)]
pub struct Recovery {
    last_signs: Mutex<BTreeMap<member::Incarnation, LastSign>>,
}

/// The last sign that a holder is alive: a new record, or an answer to a call.
#[derive(Clone, Copy, Debug)]
struct LastSign {
    seq: u64,
    at: timers::Now,
}

/// Starts the passes.
///
/// Each router skips passes at random, so that the fleet makes about one per interval. A router
/// that has just started, or whose last pass found an open record of its predecessor, skips none.
pub fn start(router: Arc<Router>) {
    let runtime = router.runtime.clone();
    runtime.spawn(async move {
        let ticks = router.runtime.every(PASS_INTERVAL);
        let mut rng = router.runtime.rng();
        let mut has_predecessor = true;
        while ticks.recv().await.is_ok() {
            let others = router.peers.lock().unwrap().len();
            if !has_predecessor && rng.usize(..=others) > 0 {
                continue;
            }
            let done = router
                .runtime
                .timers
                .within(PASS_TIMEOUT, run_pass(&router))
                .await;
            match done {
                Some(Ok(found)) => has_predecessor = found,
                Some(Err(err)) => tracing::warn!("recovery: {err}."),
                None => tracing::warn!("recovery: the pass took too long and was stopped."),
            }
        }
    });
}

/// Fences this router, which is shutting down, and closes its record; returns whether it is closed.
///
/// Once the fence is written, any other router can finish what this one leaves undone.
///
/// # Errors
///
/// [`error::Error::Store`] when the store cannot be reached.
pub async fn close_self(router: &Router) -> Result<bool, error::Error> {
    let own = router.member.incarnation;
    if is_closed(router, own).await? {
        return Ok(true);
    }
    fencing::fence(router, &[own]).await?;
    fencing::read_fences(router).await?;
    closing::close_fenced_holders(router).await?;
    is_closed(router, own).await
}

/// Whether the record of a holder is closed, or was never written.
async fn is_closed(router: &Router, holder: member::Incarnation) -> Result<bool, error::Error> {
    let Some(found) = router.store.get(&store::holder_key(holder)).await? else {
        return Ok(true);
    };
    let record: holder_record::HolderRecord = kv::decode(&found)?;
    Ok(record.state == holder_record::HolderState::Closed)
}

/// One pass: fences the holders that are dead, then closes those that are fenced.
///
/// Returns whether it found an open record of this router's own predecessor.
async fn run_pass(router: &Router) -> Result<bool, error::Error> {
    record_writer::ensure_exists(router).await?;
    fencing::read_fences(router).await?;
    let records = closing::read_records(router).await?;
    let mut holder_records = records.values().map(|(_, record)| record);
    let has_predecessor = holder_records.any(|record| is_predecessor(router, record));
    forget_others(router, &records);
    let dead = dead_holders(router, &records).await;
    if !dead.is_empty() {
        fencing::fence(router, &dead).await?;
    }
    closing::close_fenced_holders(router).await?;
    Ok(has_predecessor)
}

/// Whether a record is not closed and belongs to an earlier process at this router's address.
///
/// That process has ended, for this one listens at its address.
fn is_predecessor(router: &Router, record: &holder_record::HolderRecord) -> bool {
    record.member.address == router.member.address
        && record.member.incarnation != router.member.incarnation
        && record.state != holder_record::HolderState::Closed
}

/// Holders, other than this router, whose record is live but that are taken to be dead.
async fn dead_holders(router: &Router, records: &closing::Records) -> Vec<member::Incarnation> {
    let mut dead = Vec::new();
    for (_, record) in records.values() {
        let live = record.state == holder_record::HolderState::Live;
        let own = record.member.incarnation == router.member.incarnation;
        if live && !own && is_dead(router, record).await {
            dead.push(record.member.incarnation);
        }
    }
    dead
}

/// Whether a holder is taken to be dead.
///
/// It is when another process listens at its address. Otherwise a holder that wrote its record less
/// than [`RECORD_MAX_AGE`] ago counts as alive, and so does one that answers. One that does not
/// answer is dead when the list of VMs does not name it, when its VM is leaving and it has been
/// silent for the drain time, or when it has been silent for [`LISTED_RECORD_MAX_AGE`].
async fn is_dead(router: &Router, record: &holder_record::HolderRecord) -> bool {
    if is_predecessor(router, record) {
        return true;
    }
    let holder = record.member.incarnation;
    let silent = silent_for(router, holder, record.seq);
    if silent < RECORD_MAX_AGE {
        return false;
    }
    match draw::query_incarnation(router, &record.member.address).await {
        Some(found) if found == holder => {
            note_alive(router, holder, record.seq);
            false
        }
        Some(_) => true,
        None => {
            silent >= LISTED_RECORD_MAX_AGE
                || silent >= router.settings.drain_timeout
                    && is_leaving(router, &record.member).await
                || lost_attempts::is_unlisted(router, &record.member, vm_list::VmRole::Router).await
        }
    }
}

/// Whether the list of VMs says that a router's VM is leaving.
async fn is_leaving(router: &Router, member: &member::Member) -> bool {
    let read = (router.vms.read)();
    let Some(Ok(vms)) = router.runtime.timers.within(VM_LIST_TIMEOUT, read).await else {
        return false;
    };
    let routers = vms.iter().filter(|vm| vm.role == vm_list::VmRole::Router);
    let mut leaving = routers.filter(|vm| vm.state == vm_list::VmState::Leaving);
    leaving.any(|vm| vm.name == member.name && vm.address == member.address)
}

/// Time since the last sign that a holder is alive; a new record counts as one.
fn silent_for(router: &Router, holder: member::Incarnation, seq: u64) -> Duration {
    let now = router.runtime.timers.now();
    let mut last_signs = router.recovery.last_signs.lock().unwrap();
    let last = last_signs
        .entry(holder)
        .or_insert(LastSign { seq, at: now });
    if last.seq != seq {
        *last = LastSign { seq, at: now };
    }
    now.saturating_sub(last.at)
}

/// Forgets the holders without a record, which are not asked for again.
fn forget_others(router: &Router, records: &closing::Records) {
    let mut last_signs = router.recovery.last_signs.lock().unwrap();
    last_signs.retain(|holder, _| records.contains_key(holder));
}

/// Notes that a holder has answered.
fn note_alive(router: &Router, holder: member::Incarnation, seq: u64) {
    let at = router.runtime.timers.now();
    let mut last_signs = router.recovery.last_signs.lock().unwrap();
    last_signs.insert(holder, LastSign { seq, at });
}
