//! Checks the guarantees that hold in every scenario, one function each.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use fulmarproxy::{
    state::{holder_record, ledger, member},
    transport::store,
};

use super::{callers, engine, members, objects, play};

/// Time after which a leaving backend server must receive no new work.
const LEAVING_TIMEOUT: Duration = Duration::from_secs(3);
/// Time within which a router that reaches the store must follow a published configuration.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(10);

/// A guarantee that holds whatever fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Guarantee {
    /// The tokens spent never exceed the prepaid total of their budget.
    Spend,
    /// Every request is billed exactly once.
    BilledOnce,
    /// A caller receives the whole answer to its own request, or an error.
    WholeAnswer,
    /// A request that was refused as not run did not run.
    NotRun,
    /// A non-idempotent call runs at most once.
    AtMostOnce,
    /// A leaving backend server receives no new work after a few seconds.
    Leaving,
    /// A graceful shutdown aborts no request in flight.
    Graceful,
    /// A published configuration is in force within seconds and never reverts.
    Config,
}

/// A violation of a guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Violated guarantee.
    pub guarantee: Guarantee,
    /// Description of what was found.
    pub detail: String,
}

type Violations = Vec<Violation>;

fn violation(guarantee: Guarantee, detail: String) -> Violation {
    Violation { guarantee, detail }
}

/// Checks the guarantees that can be checked at any time.
pub fn check_always(sim: &play::Simulation) -> Violations {
    let mut found = check_spend(sim);
    found.extend(check_at_most_once(sim));
    found.extend(check_leaving(sim));
    found.extend(check_config_in_force(sim));
    found
}

/// Checks all guarantees, once all faults are healed and the fleet had time to recover.
pub fn check_at_end(sim: &play::Simulation) -> Violations {
    let mut found = check_always(sim);
    found.extend(check_billed_once(sim));
    found.extend(check_whole_answers(sim));
    found.extend(check_not_run(sim));
    found.extend(check_graceful(sim));
    found
}

/// Tokens of all runs, prompts included, by budget.
pub fn used_tokens(sim: &play::Simulation) -> BTreeMap<String, u64> {
    let mut used = BTreeMap::new();
    sim.visit_runs(|run| *used.entry(run.budget.clone()).or_default() += run.tokens);
    used
}

fn check_spend(sim: &play::Simulation) -> Violations {
    let mut found = Vec::new();
    for (budget, tokens) in used_tokens(sim) {
        let total = sim.max_prepaid(&budget);
        if tokens > total {
            let detail = format!("engines made {tokens} tokens for {budget}, {total} are prepaid");
            found.push(violation(Guarantee::Spend, detail));
        }
    }
    found
}

fn check_at_most_once(sim: &play::Simulation) -> Violations {
    let mut any = false;
    sim.callers
        .visit(|sent| any |= !objects::is_idempotent(&sent.request.route));
    if !any {
        return Vec::new();
    }
    let mut runs: BTreeMap<(String, u32), u32> = BTreeMap::new();
    sim.visit_runs(|run| {
        *runs
            .entry((run.label.clone(), run.send_number))
            .or_default() += 1;
    });
    let mut found = Vec::new();
    sim.callers.visit(|sent| {
        if objects::is_idempotent(&sent.request.route) {
            return;
        }
        let key = (sent.request.label.clone(), sent.send_number);
        let count = runs.get(&key).copied().unwrap_or(0);
        if count > 1 {
            let detail = format!("non-idempotent call {} ran {count} times", key.0);
            found.push(violation(Guarantee::AtMostOnce, detail));
        }
    });
    found
}

fn check_leaving(sim: &play::Simulation) -> Violations {
    let mut found = Vec::new();
    if sim.leaving_since.is_empty() {
        return found;
    }
    let dispatches = sim.members.dispatches.lock().unwrap();
    for dispatch in dispatches.iter() {
        let Some(since) = sim.leaving_since.get(&dispatch.to) else {
            continue;
        };
        // A late dispatch counts only if it led to a run: an agent that drains refuses it.
        let late = dispatch.at > *since + LEAVING_TIMEOUT;
        if late
            && runs_of(sim, dispatch)
                .iter()
                .any(|run| run.started_at > *since + LEAVING_TIMEOUT)
        {
            let to = &dispatch.to;
            let detail = format!(
                "{to} is leaving since {since:?}, got work at {:?}",
                dispatch.at
            );
            found.push(violation(Guarantee::Leaving, detail));
        }
    }
    found
}

/// Runs that the addressed agent's engine made of a dispatch's request.
fn runs_of(sim: &play::Simulation, dispatch: &members::Dispatch) -> Vec<engine::Run> {
    let engines = sim.members.engines.lock().unwrap();
    let Some((_, engine)) = engines.get(&dispatch.agent) else {
        return Vec::new();
    };
    let mut runs = engine.runs();
    runs.retain(|run| run.id == dispatch.id);
    runs
}

fn check_config_in_force(sim: &play::Simulation) -> Violations {
    let now = sim.clock.now();
    let mut found = sim.config_reversions.clone();
    let routers = sim.routers();
    let mut versions = Vec::new();
    sim.platform
        .visit_published(|published| versions.push((published.version, published.at)));
    for (published, at) in versions {
        for (vm, router) in &routers {
            let since = at.max(sim.undisturbed_since(vm));
            let version = router.config().config.version;
            let due = since + CONFIG_TIMEOUT < now;
            if due && sim.reaches_store(vm) && version < published {
                let detail = format!("{vm} follows version {version}, {published} is published");
                found.push(violation(Guarantee::Config, detail));
            }
        }
    }
    found
}

/// Bounds of an amount of tokens.
#[derive(Clone, Copy, Debug, Default)]
struct Range {
    least: i128,
    most: i128,
}

/// Compares the tokens billed for a budget with those chargeable for the attempts. Both are ranges,
/// as the usage of some attempts is unknown; it is a violation when the ranges do not overlap.
fn check_billed_once(sim: &play::Simulation) -> Violations {
    let mut found = Vec::new();
    for (budget, _) in &sim.script.budgets {
        let (ran, billed) = (chargeable_range(sim, budget), billed_range(sim, budget));
        if billed.least > ran.most || billed.most < ran.least {
            let detail = format!("{budget}: billed {billed:?}, chargeable {ran:?}");
            found.push(violation(Guarantee::BilledOnce, detail));
        }
    }
    found
}

/// Tokens that may be charged for the attempts of a budget.
///
/// An attempt whose outcome was lost may be charged up to the tokens reserved for it. If a dead
/// holder's charges at an ended agent were lost as well, all tokens that it held may be booked.
fn chargeable_range(sim: &play::Simulation, budget: &str) -> Range {
    let mut range = Range::default();
    for (holder, ran) in chargeable_by_holder(sim, budget) {
        range.least += ran.least;
        range.most += match has_lost_charges(sim, holder) {
            true => ran.most.max(tokens_booked_at_closing(sim, holder, budget)),
            false => ran.most,
        };
    }
    range
}

/// The chargeable tokens of a budget by holder. Attempts of one request at one agent are counted
/// together, as the engine records their runs under the same request id.
fn chargeable_by_holder(
    sim: &play::Simulation,
    budget: &str,
) -> BTreeMap<member::Incarnation, Range> {
    let mut ranges: BTreeMap<_, Range> = BTreeMap::new();
    let mut unused_reservations: BTreeMap<_, Vec<i128>> = BTreeMap::new();
    let whole_answers: Vec<_> = sim.callers.all().into_iter().filter(is_whole).collect();
    let dispatches = sim.members.dispatches.lock().unwrap().clone();
    let mut groups: BTreeMap<(String, member::Incarnation), Vec<members::Dispatch>> =
        BTreeMap::new();
    for dispatch in dispatches
        .iter()
        .filter(|dispatch| dispatch.budget == budget)
    {
        let group = groups.entry((dispatch.id.clone(), dispatch.agent));
        group.or_default().push(dispatch.clone());
    }
    for ((id, agent), group) in &groups {
        let runs = runs_of(sim, &group[0]);
        let used: u64 = runs.iter().map(|run| run.tokens).sum();
        let same_request = dispatches.iter().filter(|other| other.id == *id);
        // A whole answer settles the usage of a request that was dispatched only once.
        let answered_whole = whole_answers
            .iter()
            .any(|sent| sent.id.as_deref() == Some(id));
        let agent_is_running = sim.is_running(*agent);
        let finished = !runs.is_empty() && runs.iter().all(|run| run.finished);
        let usage_known = finished || (answered_whole && same_request.count() == 1);
        let reserved: u64 = group.iter().map(|dispatch| dispatch.bound).sum();
        // Without a run nothing is chargeable while the agent still runs, and a run whose usage is
        // known costs exactly that; otherwise the charge may be up to the reserved tokens.
        let most = match (runs.is_empty(), usage_known) {
            (true, _) if agent_is_running => used,
            (false, true) => used,
            _ => reserved.max(used),
        };
        let holder = group[0].holder;
        // An ended agent may have lost the receipts of finished runs as well; see below.
        if !agent_is_running && !runs.is_empty() && usage_known {
            let unused = unused_reservations.entry((holder, *agent)).or_default();
            unused.push(i128::from(reserved.saturating_sub(used)));
        }
        let range = ranges.entry(holder).or_default();
        range.least += i128::from(used);
        range.most += i128::from(most);
    }
    // As many of these attempts as the holder's record does not count may be charged in full; which
    // ones is unknown, so the bound takes those with the largest unused reservations.
    for ((holder, agent), mut unused) in unused_reservations {
        unused.sort_by_key(|tokens| Reverse(*tokens));
        let lost = count_uncounted_attempts(sim, holder, agent);
        let range = ranges.entry(holder).or_default();
        range.most += unused.into_iter().take(lost).sum::<i128>();
    }
    ranges
}

fn read_holder_record(
    sim: &play::Simulation,
    holder: member::Incarnation,
) -> Option<holder_record::HolderRecord> {
    let records: Vec<holder_record::HolderRecord> = sim.platform.read_values(store::HOLDER_PREFIX);
    let mut records = records.into_iter();
    records.find(|record| record.member.incarnation == holder)
}

/// Number of a holder's attempts that ran at an agent and whose receipts the holder's record does
/// not count.
fn count_uncounted_attempts(
    sim: &play::Simulation,
    holder: member::Incarnation,
    agent: member::Incarnation,
) -> usize {
    let dispatches = sim.members.dispatches.lock().unwrap().clone();
    let mut ran = BTreeSet::new();
    for dispatch in &dispatches {
        let sent = dispatch.holder == holder && dispatch.agent == agent;
        if sent && !runs_of(sim, dispatch).is_empty() {
            ran.insert(dispatch.id.clone());
        }
    }
    let record = read_holder_record(sim, holder);
    let covered = record.and_then(|record| record.covered.get(&agent).cloned());
    let covered = covered.unwrap_or_default();
    let counted = usize::try_from(covered.through).unwrap() + covered.beyond.len();
    ran.len().saturating_sub(counted)
}

/// Whether a dead holder had attempts run at an ended agent that its last record does not count.
/// Nobody knows what these used, so all tokens that the holder held may be booked as spent.
fn has_lost_charges(sim: &play::Simulation, holder: member::Incarnation) -> bool {
    let dispatches = sim.members.dispatches.lock().unwrap().clone();
    let sent = dispatches.iter().filter(|sent| sent.holder == holder);
    let agents: BTreeSet<_> = sent.map(|sent| sent.agent).collect();
    let gone = |agent: &member::Incarnation| !sim.is_running(*agent);
    let lost = |agent| count_uncounted_attempts(sim, holder, agent) > 0;
    !sim.is_running(holder) && agents.into_iter().filter(gone).any(lost)
}

/// Tokens that the closing of a holder booked as spent, at most those that the holder held.
fn tokens_booked_at_closing(
    sim: &play::Simulation,
    holder: member::Incarnation,
    budget: &str,
) -> i128 {
    let record = read_holder_record(sim, holder);
    let figures = record.and_then(|record| record.budgets.get(budget).cloned());
    let figures = figures.unwrap_or_default();
    let sum = |flows: &BTreeMap<_, u64>| i128::from(flows.values().sum::<u64>());
    // The net tokens that the ledger counts lack those received from other holders and include
    // those given to them.
    let net_taken = i128::from(sim.platform.net_taken(holder, budget));
    net_taken + sum(&figures.received) - sum(&figures.given)
}

fn is_whole(sent: &callers::SentRequest) -> bool {
    matches!(sent.outcome, Some((_, callers::Outcome::Whole(_))))
}

/// Tokens billed for a budget according to the ledger and the holders' records.
///
/// A holder that has ended but is not closed yet may still be billed for all that it held.
fn billed_range(sim: &play::Simulation, budget: &str) -> Range {
    let buckets: Vec<ledger::Bucket> = sim.platform.read_values(store::LEDGER_PREFIX);
    let entry = buckets.iter().find_map(|bucket| bucket.entries.get(budget));
    let entry = entry.cloned().unwrap_or_default();
    let records: Vec<holder_record::HolderRecord> = sim.platform.read_values(store::HOLDER_PREFIX);
    let is_closed =
        |record: &&holder_record::HolderRecord| record.state == holder_record::HolderState::Closed;
    let closed: Vec<_> = records
        .iter()
        .filter(is_closed)
        .map(|r| r.member.incarnation)
        .collect();
    let mut range = Range {
        least: i128::from(entry.closed),
        most: i128::from(entry.closed),
    };
    for record in records.iter().filter(|record| !is_closed(record)) {
        let holder = record.member.incarnation;
        let figures = record.budgets.get(budget).cloned().unwrap_or_default();
        // The ledger's total of closed holders lacks the tokens that they received from this holder
        // and includes those that they gave to it.
        let with_closed = |flows: &BTreeMap<u64, u64>| -> i128 {
            let closed = flows.iter().filter(|(other, _)| closed.contains(other));
            closed.map(|(_, tokens)| i128::from(*tokens)).sum()
        };
        let net = with_closed(&figures.given) - with_closed(&figures.received);
        let spent = i128::from(figures.spent) + net;
        range.least += spent;
        range.most += spent;
        if !sim.is_running(holder) {
            let granted = entry.shares.get(&holder).map_or(0, |share| share.granted);
            let received = received_by(&records, holder, budget);
            range.most += i128::from((granted + received).saturating_sub(figures.spent));
        }
    }
    range
}

/// Tokens that a holder received, also those that only the giver's record shows.
fn received_by(
    records: &[holder_record::HolderRecord],
    holder: member::Incarnation,
    budget: &str,
) -> u64 {
    let own = records
        .iter()
        .find(|record| record.member.incarnation == holder);
    let own = own.and_then(|record| record.budgets.get(budget));
    let mut received = own.map_or_else(BTreeMap::new, |figures| figures.received.clone());
    for giver in records {
        let given = giver.budgets.get(budget).and_then(|f| f.given.get(&holder));
        let known = received.entry(giver.member.incarnation).or_default();
        *known = (*known).max(given.copied().unwrap_or(0));
    }
    received.values().sum()
}

fn check_whole_answers(sim: &play::Simulation) -> Violations {
    let mut found = Vec::new();
    for sent in sim.callers.all() {
        let request = &sent.request;
        let wrong = match &sent.outcome {
            None => Some("got neither answer nor refusal".to_owned()),
            Some((_, callers::Outcome::Whole(body))) if request.tokens > 0 => {
                let text = engine::answer_text(body, request.stream);
                let wanted = engine::expected_text(&request.label, request.tokens);
                (text != wanted).then(|| format!("got {text:?} as its whole answer"))
            }
            Some((_, callers::Outcome::Whole(body))) => {
                let text = String::from_utf8_lossy(body);
                let own = text.starts_with(&format!("done {} ", request.label));
                (!own).then(|| format!("got {text:?} as its whole answer"))
            }
            Some(_) => None,
        };
        if let Some(wrong) = wrong {
            let detail = format!("{} sent at {:?} {wrong}", request.label, sent.at);
            found.push(violation(Guarantee::WholeAnswer, detail));
        }
    }
    found
}

fn check_not_run(sim: &play::Simulation) -> Violations {
    let mut found = Vec::new();
    let all = sim.callers.all();
    for sent in &all {
        let same = |other: &&callers::SentRequest| {
            other.request.label == sent.request.label && other.send_number == sent.send_number
        };
        let denied = |other: &callers::SentRequest| {
            matches!(
                other.outcome,
                Some((
                    _,
                    callers::Outcome::Refused {
                        may_have_run: false,
                        ..
                    }
                ))
            )
        };
        // Sends with the same body share their runs; only if all were refused as not run, none may
        // have run.
        if !all.iter().filter(same).all(denied) {
            continue;
        }
        let mut runs = 0;
        sim.visit_runs(|run| {
            let is_same = run.label == sent.request.label && run.send_number == sent.send_number;
            runs += u32::from(is_same);
        });
        if runs > 0 {
            let label = &sent.request.label;
            let detail = format!("{label} was refused as not run, but ran {runs} times");
            found.push(violation(Guarantee::NotRun, detail));
        }
    }
    found
}

fn check_graceful(sim: &play::Simulation) -> Violations {
    let mut found = Vec::new();
    let all = sim.callers.all();
    for (index, stopped) in &sim.in_flight_at_stop {
        let sent = &all[*index];
        // A refusal as not run is no abort: the caller can safely send the request again.
        let cut = match &sent.outcome {
            Some((_, callers::Outcome::Whole(_))) => false,
            Some((_, callers::Outcome::Refused { may_have_run, .. })) => *may_have_run,
            _ => true,
        };
        if cut && !sim.was_hit_by_fault(sent) {
            let detail = format!(
                "{} was in flight when {stopped} stopped",
                sent.request.label
            );
            found.push(violation(Guarantee::Graceful, detail));
        }
    }
    found
}
