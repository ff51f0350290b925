//! Closes fenced holders and settles their tokens in the ledger.
//!
//! The fenced holders that are not closed yet are the dead ones. First every live router confirms
//! its promise to transfer no more tokens to or from them, and every registered agent its promise
//! to run no more work for them. Their figures are final then: the ledger books what they spent and
//! frees what they left. Any router may do this and go on with what another one began.

use std::{collections::BTreeMap, sync::atomic::Ordering, time::Duration};

use futures::future::join_all;
use metrics::{counter, gauge};

use crate::{
    coordination::closing,
    error,
    protocol::{kv, messages},
    router::{
        Router,
        fencing::{self, MAX_WRITE_ATTEMPTS},
        lost_attempts, record_writer,
    },
    state::{agent_registry, fences, holder_record, ledger, member, name},
    transport::store,
};

/// Longest wait for the answer of another member.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Records of holders by incarnation, with their revisions.
pub type Records = BTreeMap<member::Incarnation, (u64, holder_record::HolderRecord)>;

/// Reads the records of all holders.
///
/// # Errors
///
/// [`error::Error::Store`] when the store cannot be reached.
pub async fn read_records(router: &Router) -> Result<Records, error::Error> {
    let (found, _) = router.store.list(store::HOLDER_PREFIX).await?;
    let mut records = Records::new();
    for kv in found {
        let record: holder_record::HolderRecord = kv::decode(&kv)?;
        records.insert(record.member.incarnation, (kv.mod_revision.0, record));
    }
    Ok(records)
}

/// Closes all fenced holders together, if every live router and registered agent confirms.
///
/// Does nothing when this router is fenced itself, unless that is because it shuts down.
pub async fn close_fenced_holders(router: &Router) -> Result<(), error::Error> {
    let fenced = router.fences.lock().unwrap().clone();
    let mut records = read_records(router).await?;
    let mut closing = closing::Closing::default();
    for holder in &fenced.holders {
        let Some((revision, record)) = records.remove(holder) else {
            continue;
        };
        match fence_record(router, revision, record).await? {
            Some(record) => closing.dead.insert(*holder, record),
            None => {
                closing.closed.insert(*holder);
                continue;
            }
        };
    }
    gauge!("fulmar_closing_holders").set(closing.dead.len() as f64);
    let fenced_self = closing.dead.contains_key(&router.member.incarnation);
    if closing.dead.is_empty() || fenced_self && !router.draining.load(Ordering::Relaxed) {
        return Ok(());
    }
    let confirmed = collect_router_records(router, &fenced, &records, &mut closing).await?
        && collect_agent_receipts(router, &fenced, &mut closing).await?;
    if !confirmed {
        counter!("fulmar_closings", "result" => "blocked").increment(1);
        return Ok(());
    }
    settle_buckets(router, &closing).await?;
    for holder in closing.dead.keys() {
        mark_closed(router, *holder).await?;
    }
    counter!("fulmar_closings", "result" => "closed").increment(1);
    Ok(())
}

/// Marks a record as fenced, so that its holder cannot write it any more; `None` when it is closed.
async fn fence_record(
    router: &Router,
    mut revision: u64,
    mut record: holder_record::HolderRecord,
) -> Result<Option<holder_record::HolderRecord>, error::Error> {
    let key = store::holder_key(record.member.incarnation);
    for _ in 0..MAX_WRITE_ATTEMPTS {
        match record.state {
            holder_record::HolderState::Closed => return Ok(None),
            holder_record::HolderState::Fenced => return Ok(Some(record)),
            holder_record::HolderState::Live => {}
        }
        record.state = holder_record::HolderState::Fenced;
        match router.store.put_if(&key, &record, revision, 0).await? {
            store::Put::Written(_) => return Ok(Some(record)),
            store::Put::Conflict(Some(found)) => {
                revision = found.mod_revision.0;
                record = kv::decode(&found)?;
            }
            store::Put::Conflict(None) => return Ok(None),
        }
    }
    Err(fencing::too_many_conflicts(&key))
}

/// Collects the records of all live holders once they have blocked transfers with the fenced ones.
///
/// Returns false when one does not confirm.
async fn collect_router_records(
    router: &Router,
    fenced: &fences::Fences,
    records: &Records,
    closing: &mut closing::Closing,
) -> Result<bool, error::Error> {
    let dead: Vec<_> = closing.dead.keys().copied().collect();
    let own = router.member.incarnation;
    let others = records.values().map(|(_, record)| &record.member);
    let others = others.filter(|member| member.incarnation != own);
    let calls = others.map(|member| request_record(router, member, fenced.revision, dead.clone()));
    for record in join_all(calls).await {
        let Some(record) = record else {
            return Ok(false);
        };
        closing.live.insert(record.member.incarnation, record);
    }
    if !closing.dead.contains_key(&own) {
        let record = block_and_write_record(router, &dead).await?;
        closing.live.insert(own, record);
    }
    Ok(true)
}

/// Has another router block transfers with the closing holders; returns its record afterwards.
async fn request_record(
    router: &Router,
    member: &member::Member,
    revision: u64,
    closing: Vec<member::Incarnation>,
) -> Option<holder_record::HolderRecord> {
    let call = messages::RouterCall::Flows {
        router: member.incarnation,
        revision,
        closing,
    };
    let reply = (router.fleet.router)(member.address.clone(), call);
    match router.runtime.timers.within(CALL_TIMEOUT, reply).await {
        Some(Ok(messages::RouterReply::Flows(record))) => {
            let record: holder_record::HolderRecord = serde_json::from_slice(&record).ok()?;
            (record.member.incarnation == member.incarnation).then_some(record)
        }
        _ => {
            tracing::info!(
                "recovery: router {} does not confirm the fence.",
                member.name
            );
            None
        }
    }
}

/// Blocks transfers with some holders, then writes and returns the record of this router.
///
/// The stored record covers all earlier transfers with these holders.
async fn block_and_write_record(
    router: &Router,
    closing: &[member::Incarnation],
) -> Result<holder_record::HolderRecord, error::Error> {
    fencing::block_transfers(router, closing);
    record_writer::try_flush(router).await?;
    let written = router.billing.written_record.lock().unwrap().clone();
    written
        .ok_or_else(|| fencing::too_many_conflicts(&store::holder_key(router.member.incarnation)))
}

/// Answers a router that closes fenced holders: blocks transfers with them, returns the record.
pub async fn answer(router: &Router, call: messages::RouterCall) -> Option<messages::RouterReply> {
    let messages::RouterCall::Flows {
        router: meant,
        closing,
        ..
    } = call
    else {
        return None;
    };
    if meant != router.member.incarnation || router.billing.is_fenced() {
        return None;
    }
    let record = block_and_write_record(router, &closing).await.ok()?;
    let record = serde_json::to_vec(&record).ok()?;
    Some(messages::RouterReply::Flows(record))
}

/// Collects the receipts of all registered agents once they refuse work of the fenced holders.
///
/// Returns false when one does not confirm or still runs such work. A replaced agent cannot tell
/// what it ran: what the holders that may have given it work have left is written off.
async fn collect_agent_receipts(
    router: &Router,
    fenced: &fences::Fences,
    closing: &mut closing::Closing,
) -> Result<bool, error::Error> {
    let (found, _) = router.store.list(store::AGENTS_PREFIX).await?;
    let mut agents = BTreeMap::new();
    for kv in found {
        let registry: agent_registry::AgentRegistry = kv::decode(&kv)?;
        agents.extend(registry.agents);
    }
    let calls = agents
        .values()
        .map(|agent| fence_agent(router, agent, fenced));
    let presences = join_all(calls).await;
    for (agent, presence) in agents.values().zip(presences) {
        match presence {
            lost_attempts::Presence::Same => {}
            lost_attempts::Presence::Silent => {
                tracing::info!("recovery: agent {} does not confirm the fence.", agent.name);
                return Ok(false);
            }
            lost_attempts::Presence::Replaced => {
                let dead: Vec<_> = closing.dead.keys().copied().collect();
                for holder in dead {
                    closing.mark_lost(agent.incarnation, holder);
                }
                continue;
            }
        }
        if !collect_receipts(router, agent, closing).await {
            return Ok(false);
        }
    }
    Ok(true)
}

/// Tells an agent to begin no more work of the fenced holders; returns whether it confirms.
async fn fence_agent(
    router: &Router,
    agent: &member::Member,
    fenced: &fences::Fences,
) -> lost_attempts::Presence {
    let call = messages::AgentCall::Fence {
        agent: agent.incarnation,
        revision: fenced.revision,
        holders: fenced.holders.iter().copied().collect(),
    };
    let reply = (router.fleet.agent)(agent.address.clone(), call);
    match router.runtime.timers.within(CALL_TIMEOUT, reply).await {
        Some(Ok(messages::AgentReply::Fenced(_))) => lost_attempts::Presence::Same,
        _ => match lost_attempts::check_presence(router, agent).await {
            lost_attempts::Presence::Replaced => lost_attempts::Presence::Replaced,
            _ => lost_attempts::Presence::Silent,
        },
    }
}

/// Collects an agent's receipts of the closing holders that their records do not cover yet.
///
/// Returns false when the agent does not answer or still runs work for one of them.
async fn collect_receipts(
    router: &Router,
    agent: &member::Member,
    closing: &mut closing::Closing,
) -> bool {
    let dead: Vec<_> = closing.dead.keys().copied().collect();
    for holder in dead {
        let covered = closing.dead[&holder].covered.get(&agent.incarnation);
        let through = covered.map_or(0, |covered| covered.through);
        let Some(receipts) = lost_attempts::fetch_receipts(router, agent, holder, through).await
        else {
            return false;
        };
        if receipts.iter().any(|receipt| !receipt.is_charged()) {
            tracing::info!(
                "recovery: agent {} still runs work of a fenced holder.",
                agent.name
            );
            return false;
        }
        closing.add_receipts(agent.incarnation, holder, receipts);
    }
    true
}

/// Settles the closing holders in every ledger bucket.
async fn settle_buckets(router: &Router, closing: &closing::Closing) -> Result<(), error::Error> {
    let (found, _) = router.store.list(store::LEDGER_PREFIX).await?;
    let mut buckets: BTreeMap<String, kv::KeyValue> = BTreeMap::new();
    for kv in found {
        let key = String::from_utf8_lossy(&kv.key.0).into_owned();
        buckets.insert(key, kv);
    }
    for number in 0..ledger::LEDGER_BUCKETS {
        let key = store::bucket_key(number);
        if let Some(kv) = buckets.remove(&key) {
            settle_bucket(router, closing, number, &key, kv).await?;
        }
    }
    Ok(())
}

/// Settles the closing holders in one bucket; leaves alone a bucket that does not concern them.
async fn settle_bucket(
    router: &Router,
    closing: &closing::Closing,
    number: u64,
    key: &str,
    mut kv: kv::KeyValue,
) -> Result<(), error::Error> {
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let mut bucket: ledger::Bucket = kv::decode(&kv)?;
        if !closing.affects(number, &bucket) {
            return Ok(());
        }
        let Some(settled) = closing.settle(number, &mut bucket) else {
            return Ok(());
        };
        let put = router.store.put_if(key, &bucket, kv.mod_revision.0, 0);
        match put.await? {
            store::Put::Written(_) => {
                report_settled(&settled);
                return Ok(());
            }
            store::Put::Conflict(Some(newer)) => kv = newer,
            store::Put::Conflict(None) => return Err(fencing::too_many_conflicts(key)),
        }
    }
    Err(fencing::too_many_conflicts(key))
}

/// Logs and counts the settled tokens of each budget.
fn report_settled(settled: &BTreeMap<name::Name, closing::Settled>) {
    for (budget, settled) in settled {
        if settled.freed + settled.written_off > 0 {
            let (freed, lost) = (settled.freed, settled.written_off);
            tracing::info!("recovery: budget {budget}: {freed} tokens freed, {lost} written off.");
        }
        counter!("fulmar_freed_tokens").increment(settled.freed);
        counter!("fulmar_written_off_tokens").increment(settled.written_off);
    }
}

/// Marks the record of a holder as closed.
async fn mark_closed(router: &Router, holder: member::Incarnation) -> Result<(), error::Error> {
    let key = store::holder_key(holder);
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let Some(found) = router.store.get(&key).await? else {
            return Ok(());
        };
        let mut record: holder_record::HolderRecord = kv::decode(&found)?;
        if record.state == holder_record::HolderState::Closed {
            return Ok(());
        }
        record.state = holder_record::HolderState::Closed;
        let put = router.store.put_if(&key, &record, found.mod_revision.0, 0);
        if let store::Put::Written(_) = put.await? {
            tracing::info!("recovery: the record of {} is closed.", record.member.name);
            return Ok(());
        }
    }
    Err(fencing::too_many_conflicts(&key))
}
