//! Finds dead holders, has them fenced and closed; any router may do it, and may go on with it.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use crate::{
    error,
    protocol::{kv, vm_list},
    router::{Router, closing, draw, fencing, record, resolve},
    state::{holder_record, member},
    transport::{store, timers},
};

const PERIOD: Duration = Duration::from_secs(3);
const LIMIT: Duration = Duration::from_secs(2);

/// Longest time of one pass.
const PASS_LIMIT: Duration = Duration::from_secs(60);

/// Time without a new record after which a holder is asked whether it lives.
const QUIET_LIMIT: Duration = Duration::from_secs(6);

/// Silence after which a holder that the list of VMs still names is fenced.
const SILENT_LIMIT: Duration = Duration::from_secs(4 * 3600);

/// What recovery remembers of other holders.
#[derive(Debug, Default)]
pub struct Recovery {
    seen: Mutex<BTreeMap<member::Incarnation, Seen>>,
}

/// When a holder last showed that it lives.
#[derive(Clone, Copy, Debug)]
struct Seen {
    seq: u64,
    at: timers::Now,
}

/// Starts looking for dead holders.
pub fn start(router: Arc<Router>) {
    let runtime = router.runtime.clone();
    runtime.spawn(async move {
        let ticks = router.runtime.every(PERIOD);
        let mut rng = router.runtime.rng();
        let mut has_predecessor = true;
        while ticks.recv().await.is_ok() {
            let others = router.peers.lock().unwrap().len();
            if !has_predecessor && rng.usize(..=others) > 0 {
                continue;
            }
            let done = router.runtime.timers.within(PASS_LIMIT, run(&router)).await;
            match done {
                Some(Ok(found)) => has_predecessor = found,
                Some(Err(err)) => tracing::warn!("recovery: {err}."),
                None => tracing::warn!("recovery: the pass took too long."),
            }
        }
    });
}

/// Fences this router, whose work is over, and closes its record; returns whether it is closed.
///
/// Whatever is left undone after the fence, any other router does.
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
    closing::close(router).await?;
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
async fn run(router: &Router) -> Result<bool, error::Error> {
    record::ensure(router).await?;
    fencing::read_fences(router).await?;
    let records = closing::read_records(router).await?;
    let mut open = records.values().map(|(_, record)| record);
    let has_predecessor = open.any(|record| is_predecessor(router, record));
    let suspects = suspects(router, &records).await;
    if !suspects.is_empty() {
        fencing::fence(router, &suspects).await?;
    }
    closing::close(router).await?;
    Ok(has_predecessor)
}

/// Whether an open record is of an earlier process at this router's address, which is gone.
fn is_predecessor(router: &Router, record: &holder_record::HolderRecord) -> bool {
    record.member.address == router.member.address
        && record.member.incarnation != router.member.incarnation
        && record.state != holder_record::HolderState::Closed
}

/// Holders that are gone for good, or have been silent for long.
async fn suspects(router: &Router, records: &closing::Records) -> Vec<member::Incarnation> {
    let mut suspects = Vec::new();
    for (_, record) in records.values() {
        let live = record.state == holder_record::HolderState::Live;
        let own = record.member.incarnation == router.member.incarnation;
        if live && !own && is_dead(router, record).await {
            suspects.push(record.member.incarnation);
        }
    }
    suspects
}

async fn is_dead(router: &Router, record: &holder_record::HolderRecord) -> bool {
    if is_predecessor(router, record) {
        return true;
    }
    let holder = record.member.incarnation;
    let silent = silence(router, holder, record.seq);
    if silent < QUIET_LIMIT {
        return false;
    }
    match draw::ask_incarnation(router, &record.member.address).await {
        Some(found) if found == holder => {
            heard(router, holder, record.seq);
            false
        }
        Some(_) => true,
        None => {
            silent >= SILENT_LIMIT
                || silent >= router.settings.drain_timeout
                    && is_leaving(router, &record.member).await
                || resolve::is_unlisted(router, &record.member, vm_list::VmRole::Router).await
        }
    }
}

/// Whether the list of VMs says that a router is about to go.
async fn is_leaving(router: &Router, member: &member::Member) -> bool {
    let read = (router.vms.read)();
    let Some(Ok(vms)) = router.runtime.timers.within(LIMIT, read).await else {
        return false;
    };
    let routers = vms.iter().filter(|vm| vm.role == vm_list::VmRole::Router);
    let mut leaving = routers.filter(|vm| vm.state == vm_list::VmState::Leaving);
    leaving.any(|vm| vm.name == member.name && vm.address == member.address)
}

fn silence(router: &Router, holder: member::Incarnation, seq: u64) -> Duration {
    let now = router.runtime.timers.now();
    let mut seen = router.recovery.seen.lock().unwrap();
    let last = seen.entry(holder).or_insert(Seen { seq, at: now });
    if last.seq != seq {
        *last = Seen { seq, at: now };
    }
    now.saturating_sub(last.at)
}

fn heard(router: &Router, holder: member::Incarnation, seq: u64) {
    let at = router.runtime.timers.now();
    let mut seen = router.recovery.seen.lock().unwrap();
    seen.insert(holder, Seen { seq, at });
}
