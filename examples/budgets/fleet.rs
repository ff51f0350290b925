//! Simulates a fleet in steps of a quarter of a second. Its routers run the token accounting of
//! [`fulmarproxy::coordination`] on a ledger and records in memory.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use derive_more::Display;
use fulmarproxy::{
    coordination::{closing, demand, draw, escrow, receipt_log, refill},
    state::{holder_record, ledger, member, name},
};

use crate::workload::{Fault, Workload};

/// Steps of the simulation per second.
const TICKS_PER_SECOND: u64 = 4;
/// Longest wait of a request for tokens that other requests have reserved, in [`Design::Waiting`].
const MAX_WAIT_TICKS: u64 = 2 * TICKS_PER_SECOND;
/// Time from a router's death to the closing of its holder. It is longer than any request runs, so
/// that the holder's requests have ended by then.
const CLOSING_DELAY_TICKS: u64 = 15 * TICKS_PER_SECOND;
/// Incarnation of the only agent, which runs all requests.
const AGENT_INCARNATION: u64 = 1;

/// A design of the token accounting. Each adds to the one before it; [`Design::FixedShares`] does
/// not adapt shares to demand.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd)]
pub enum Design {
    /// Each router is granted an equal part of a budget.
    #[display("fixed equal shares")]
    FixedShares,
    /// Grants and returns follow the demand at the router.
    #[display("demand-sized grants")]
    DemandGrants,
    /// A router also draws tokens from its peers when the ledger has too few.
    #[display("with peer draws")]
    PeerDraws,
    /// A request also waits for a short time when reserved tokens may be released for it.
    #[display("with waiting")]
    Waiting,
}

impl Design {
    pub const ALL: [Self; 4] = [
        Self::FixedShares,
        Self::DemandGrants,
        Self::PeerDraws,
        Self::Waiting,
    ];
}

/// Result of one simulation.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub requests: u64,
    /// Tokens used beyond the final totals, in all budgets together.
    pub overspend: u64,
    /// Requests that were refused although the fleet as a whole had enough tokens for them.
    pub false_refusals: u64,
    /// Requests that were refused because the budget had too few tokens left.
    pub true_refusals: u64,
    /// Writes to the store, of buckets and records.
    pub writes: u64,
    /// Those writes by which routers stored their own holder records.
    pub record_writes: u64,
    /// Reads of ledger buckets.
    pub reads: u64,
}

struct Router {
    member: member::Member,
    escrow: escrow::Escrow,
    /// The holder's record as last written to the store.
    last_written: Option<holder_record::HolderRecord>,
    /// Dead holders to and from which the router transfers no more tokens.
    blocked_holders: BTreeSet<u64>,
    /// Version of the configuration that the router follows.
    config_version: u64,
}

/// A request. The seed determines its fields, whatever the design.
#[derive(Clone)]
struct Request {
    id: name::Name,
    router: usize,
    budget: name::Name,
    /// Tokens that are reserved: the most that the request can use.
    bound: u64,
    /// Tokens that the request uses.
    tokens: u64,
    seconds: u64,
}

struct RunningRequest {
    request: Request,
    /// Incarnation of the router that reserved the tokens.
    holder: u64,
}

struct WaitingRequest {
    request: Request,
    /// Step at which the request is refused if it still cannot begin.
    until_tick: u64,
}

/// State of the simulation.
pub struct Fleet<'a> {
    workload: &'a Workload,
    design: Design,
    rng: fastrand::Rng,
    routers: Vec<Router>,
    /// Receipts and running attempts of the agent.
    receipt_log: receipt_log::ReceiptLog,
    /// The ledger: buckets by number.
    buckets: BTreeMap<u64, ledger::Bucket>,
    /// Holder records in the store, by incarnation.
    records: BTreeMap<u64, holder_record::HolderRecord>,
    closed_holders: BTreeSet<u64>,
    /// Step at which each dead holder was killed.
    died_at: BTreeMap<u64, u64>,
    /// Prepaid totals by budget, one entry for each configuration version from 1 on.
    totals_by_version: Vec<BTreeMap<name::Name, u64>>,
    budgets: Vec<name::Name>,
    /// Running requests by the step at which they end.
    running: BTreeMap<u64, Vec<RunningRequest>>,
    waiting: Vec<WaitingRequest>,
    /// Tokens used by ended requests, by budget.
    used_tokens: BTreeMap<name::Name, u64>,
    /// Bounds of the running requests, added up by budget.
    reserved_tokens: BTreeMap<name::Name, u64>,
    /// Incarnation of the router that was started last.
    last_holder: u64,
    report: Report,
    tick: u64,
}

impl<'a> Fleet<'a> {
    pub fn new(workload: &'a Workload, design: Design, seed: u64) -> Self {
        let name = |index| name::Name::from(format!("budget-{index}"));
        let budgets: Vec<_> = (0..workload.totals.len()).map(name).collect();
        let totals = budgets.iter().cloned().zip(workload.totals.iter().copied());
        let mut fleet = Self {
            workload,
            design,
            rng: fastrand::Rng::with_seed(seed),
            routers: Vec::new(),
            receipt_log: receipt_log::ReceiptLog::default(),
            buckets: BTreeMap::new(),
            records: BTreeMap::new(),
            closed_holders: BTreeSet::new(),
            died_at: BTreeMap::new(),
            totals_by_version: vec![totals.collect()],
            budgets,
            running: BTreeMap::new(),
            waiting: Vec::new(),
            used_tokens: BTreeMap::new(),
            reserved_tokens: BTreeMap::new(),
            last_holder: 0,
            report: Report::default(),
            tick: 0,
        };
        for _ in 0..workload.routers {
            let router = fleet.new_router();
            fleet.routers.push(router);
        }
        fleet
    }

    fn new_router(&mut self) -> Router {
        self.last_holder += 1;
        let name: name::Name = format!("entry-{}", self.last_holder).into();
        Router {
            member: member::Member {
                name: name.clone(),
                incarnation: self.last_holder,
                address: name.clone(),
                region: name.clone(),
                zone: name,
            },
            escrow: escrow::Escrow::default(),
            last_written: None,
            blocked_holders: self.died_at.keys().copied().collect(),
            config_version: self.totals_by_version.len() as u64,
        }
    }

    /// Runs the workload to its end.
    pub fn run(mut self) -> Report {
        while self.tick < self.workload.seconds * TICKS_PER_SECOND {
            if self.tick.is_multiple_of(TICKS_PER_SECOND) {
                self.run_second(self.tick / TICKS_PER_SECOND);
            }
            self.finish_requests();
            self.retry_waiting();
            self.generate_requests();
            self.tick += 1;
        }
        for (budget, used) in &self.used_tokens {
            let total = self
                .totals_by_version
                .last()
                .expect("there is a first configuration")[budget];
            self.report.overspend += used.saturating_sub(total);
        }
        self.report
    }

    fn now(&self) -> Duration {
        Duration::from_millis(self.tick * 1000 / TICKS_PER_SECOND)
    }

    fn is_fault_active(&self) -> bool {
        self.workload
            .fault_seconds
            .contains(&(self.tick / TICKS_PER_SECOND))
    }

    fn reaches_store(&self, router: usize) -> bool {
        match self.workload.fault {
            _ if !self.is_fault_active() => true,
            Fault::StoreDown => false,
            Fault::Split(first) => router < first,
            Fault::SplitOther(first) => router >= first,
            Fault::None | Fault::Kills(_) => true,
        }
    }

    fn reaches_peer(&self, router: usize, other: usize) -> bool {
        match self.workload.fault {
            Fault::Split(first) | Fault::SplitOther(first) if self.is_fault_active() => {
                (router < first) == (other < first)
            }
            _ => true,
        }
    }

    /// Does what happens once a second: the top-up, a kill, the closing of dead holders, and the
    /// ledger and record writes of each router that reaches the store.
    fn run_second(&mut self, second: u64) {
        if let Some((at, tokens)) = self.workload.top_up
            && at == second
        {
            let mut totals = self
                .totals_by_version
                .last()
                .cloned()
                .expect("there is a first configuration");
            totals.values_mut().for_each(|total| *total += tokens);
            self.totals_by_version.push(totals);
        }
        if let Fault::Kills(period) = self.workload.fault
            && second > 0
            && second.is_multiple_of(period)
        {
            self.replace_router((second / period) as usize % self.routers.len());
        }
        self.close_dead_holders();
        for router in 0..self.routers.len() {
            if !self.reaches_store(router) {
                continue;
            }
            self.routers[router].config_version = self.totals_by_version.len() as u64;
            if self.design != Design::FixedShares {
                self.adjust_shares(router);
            }
            self.write_record(router);
        }
    }

    /// Kills a router and starts a new one in its place. Requests that wait at the old one are
    /// dropped and not counted as refused; its running requests go on at the agent.
    fn replace_router(&mut self, index: usize) {
        let router = self.new_router();
        let old = std::mem::replace(&mut self.routers[index], router);
        self.died_at.insert(old.member.incarnation, self.tick);
        self.waiting
            .retain(|waiting| waiting.request.router != index);
    }

    /// Closes the holders that died at least [`CLOSING_DELAY_TICKS`] ago, unless one of them still
    /// has running requests. The first router does this, if it reaches the store.
    fn close_dead_holders(&mut self) {
        let is_due = |at: &u64| self.tick >= at + CLOSING_DELAY_TICKS;
        let due_holders: Vec<_> = self
            .died_at
            .iter()
            .filter(|(holder, at)| is_due(at) && !self.closed_holders.contains(holder))
            .map(|(holder, _)| *holder)
            .collect();
        if due_holders.is_empty() || !self.reaches_store(0) {
            return;
        }
        let mut closing = closing::Closing {
            closed: self.closed_holders.clone(),
            ..Default::default()
        };
        self.receipt_log.fence_holders(due_holders.iter().copied());
        for holder in &due_holders {
            let receipts = self.receipt_log.receipts_after(*holder, 0);
            if receipts.iter().any(|receipt| !receipt.is_charged()) {
                return;
            }
            if let Some(record) = self.records.get(holder) {
                closing.dead.insert(*holder, record.clone());
                closing.add_receipts(AGENT_INCARNATION, *holder, receipts);
            }
        }
        for index in 0..self.routers.len() {
            self.routers[index].blocked_holders.extend(&due_holders);
            self.write_record(index);
            let holder = self.routers[index].member.incarnation;
            if let Some(record) = self.records.get(&holder) {
                closing.live.insert(holder, record.clone());
            }
        }
        for (number, bucket) in &mut self.buckets {
            if closing.affects(*number, bucket) && closing.settle(*number, bucket).is_some() {
                self.report.writes += 1;
            }
        }
        // Two writes for each holder: its record is marked as fenced, later as closed.
        self.report.writes += 2 * due_holders.len() as u64;
        self.closed_holders.extend(due_holders);
    }

    /// Writes a router's holder record if it has changed, and acknowledges the receipts that the
    /// written record covers.
    fn write_record(&mut self, index: usize) {
        let router = &mut self.routers[index];
        let seq = router.last_written.as_ref().map_or(0, |record| record.seq);
        let mut record = router.escrow.snapshot(&router.member, seq);
        if router.last_written.as_ref() == Some(&record) {
            return;
        }
        record.seq += 1;
        let holder = router.member.incarnation;
        if let Some(covered) = record.covered.get(&AGENT_INCARNATION) {
            self.receipt_log.acknowledge(holder, covered.through);
        }
        router.last_written = Some(record.clone());
        self.records.insert(holder, record);
        self.report.writes += 1;
        self.report.record_writes += 1;
    }

    /// Returns surplus tokens of a router to the ledger, and requests tokens that are missing from
    /// its demand target if the ledger has free ones.
    fn adjust_shares(&mut self, index: usize) {
        let (now, autonomy) = (self.now(), self.workload.autonomy);
        let mut changes: BTreeMap<u64, Vec<_>> = BTreeMap::new();
        for budget in self.routers[index].escrow.budgets() {
            let change = self.routers[index].escrow.with_account(&budget, |account| {
                account.demand.record(account.requested, now);
                account.requested = 0;
                let target = account.demand.target(autonomy);
                let available = account.available();
                account.withhold(demand::surplus(available, target));
                if account.withheld > 0 {
                    return Some(refill::Change::Return(account.withheld));
                }
                let missing = demand::missing(available, target);
                let low = missing > 0 && account.free > 0;
                low.then_some(refill::Change::Grant { needed: 0, missing })
            });
            if let Some(change) = change {
                let bucket = changes.entry(ledger::bucket_of(&budget)).or_default();
                bucket.push((budget, change));
            }
        }
        for (number, changes) in changes {
            self.write_bucket(index, number, changes);
        }
    }

    /// Reads one bucket and applies a router's changes; the write counts only if the bucket
    /// changed.
    fn write_bucket(
        &mut self,
        index: usize,
        number: u64,
        changes: Vec<(name::Name, refill::Change)>,
    ) {
        let router = &self.routers[index];
        let version = router.config_version;
        let totals = &self.totals_by_version[version as usize - 1];
        let to_request = |(budget, change): (name::Name, refill::Change)| {
            let total = totals[&budget];
            let request = refill::ChangeRequest {
                change,
                total,
                version,
            };
            (budget, request)
        };
        let requests: BTreeMap<_, _> = changes.into_iter().map(to_request).collect();
        let holder = router.member.incarnation;
        let now = self.now();
        let bucket = self.buckets.entry(number).or_default();
        self.report.reads += 1;
        if refill::apply(bucket, holder, &requests) {
            self.report.writes += 1;
        }
        for budget in requests.keys() {
            let share = refill::share_of(bucket, holder, budget);
            let free = bucket.entries.get(budget).map_or(0, ledger::Entry::free);
            router.escrow.with_account(budget, |account| {
                account.update_share(share);
                account.free = free;
                if free == 0 {
                    account.ledger_empty.set(version, now);
                }
            });
        }
    }

    /// Requests a grant of `tokens` from the ledger, unless the router cannot reach the store or
    /// found the ledger empty a moment ago.
    fn request_grant(&mut self, index: usize, budget: &name::Name, tokens: u64) {
        if !self.reaches_store(index) {
            return;
        }
        // A holder must have a record before it is granted tokens, so that it can be closed.
        if self.routers[index].last_written.is_none() {
            self.write_record(index);
        }
        let router = &self.routers[index];
        let total = self.totals_by_version[router.config_version as usize - 1][budget];
        let equal_share = total / self.workload.routers as u64;
        let is_fixed = self.design == Design::FixedShares;
        let (now, autonomy) = (self.now(), self.workload.autonomy);
        if router.escrow.with_account(budget, |a| {
            a.ledger_empty.is_current(router.config_version, now)
        }) {
            return;
        }
        let change = router.escrow.with_account(budget, |account| {
            let available = account.available();
            if is_fixed {
                let needed = equal_share.saturating_sub(account.share.granted);
                return refill::Change::Grant { needed, missing: 0 };
            }
            refill::Change::Grant {
                needed: tokens.saturating_sub(available),
                missing: demand::missing(available, account.demand.target(autonomy)),
            }
        });
        let number = ledger::bucket_of(budget);
        self.write_bucket(index, number, vec![(budget.clone(), change)]);
    }

    /// Draws tokens from other routers, unless they had none available a moment ago.
    fn draw_from_peers(&mut self, index: usize, budget: &name::Name, tokens: u64) {
        let (version, now) = (self.routers[index].config_version, self.now());
        let escrow = &self.routers[index].escrow;
        if escrow.with_account(budget, |a| a.peers_empty.is_current(version, now)) {
            return;
        }
        self.draw_from_all(index, budget, tokens);
        let others = self.routers.iter().enumerate();
        let others =
            others.filter(|(other, _)| *other != index && self.reaches_peer(index, *other));
        let free: u64 = others
            .map(|(_, r)| r.escrow.with_account(budget, |a| a.available()))
            .sum();
        if free == 0 {
            let escrow = &self.routers[index].escrow;
            escrow.with_account(budget, |a| a.peers_empty.set(version, now));
        }
    }

    /// Asks every reachable router in two rounds: first for an equal part of what is missing, then
    /// for all that is still missing.
    fn draw_from_all(&mut self, index: usize, budget: &name::Name, tokens: u64) {
        for parts in [self.routers.len() as u64 - 1, 1] {
            for giver in 0..self.routers.len() {
                let escrow = &self.routers[index].escrow;
                let available = escrow.with_account(budget, |account| account.available());
                let missing = tokens.saturating_sub(available);
                if missing == 0 || giver == index || !self.reaches_peer(index, giver) {
                    continue;
                }
                self.draw_from(index, giver, budget, missing.div_ceil(parts.max(1)));
            }
        }
    }

    /// Moves up to `wanted` tokens from router `giver` to router `index`.
    fn draw_from(&mut self, index: usize, giver: usize, budget: &name::Name, wanted: u64) {
        let (asker, from) = (&self.routers[index], &self.routers[giver]);
        let (to, by) = (asker.member.incarnation, from.member.incarnation);
        let received = asker.escrow.with_account(budget, |a| draw::received(a, by));
        let given = from
            .escrow
            .with_account(budget, |account| draw::give(account, to, received, wanted));
        asker
            .escrow
            .with_account(budget, |a| draw::accept(a, by, given));
    }

    /// Lets requests arrive at the routers. All random numbers are drawn here, so that every design
    /// meets the same requests.
    fn generate_requests(&mut self) {
        let chance = self.workload.requests_per_second / TICKS_PER_SECOND as f64;
        for router in 0..self.routers.len() {
            if self.rng.f64() >= chance {
                continue;
            }
            let hot = self.rng.f64() < self.workload.hot_share;
            let index = self.rng.usize(..self.budgets.len());
            let budget = self.budgets[if hot { 0 } else { index }].clone();
            let bound = self.rng.u64(500..2500);
            self.report.requests += 1;
            let request = Request {
                id: format!("r{}", self.report.requests).into(),
                router,
                budget,
                bound,
                tokens: bound * self.rng.u64(20..=70) / 100,
                seconds: self.rng.u64(1..12),
            };
            if !self.try_begin(&request, true) {
                self.queue_or_refuse(request);
            }
        }
    }

    /// Begins a request if its bound can be reserved; returns whether it began.
    ///
    /// Without `may_obtain_tokens`, only the tokens that the router already holds are tried.
    fn try_begin(&mut self, request: &Request, may_obtain_tokens: bool) -> bool {
        let (router, budget, bound) = (request.router, &request.budget, request.bound);
        let mut reserved = self.routers[router].escrow.reserve(budget, bound).is_ok();
        if !reserved && may_obtain_tokens {
            self.request_grant(router, budget, bound);
            reserved = self.routers[router].escrow.reserve(budget, bound).is_ok();
        }
        if !reserved && may_obtain_tokens && self.design >= Design::PeerDraws {
            self.draw_from_peers(router, budget, bound);
            reserved = self.routers[router].escrow.reserve(budget, bound).is_ok();
        }
        if reserved {
            self.begin(request);
        }
        reserved
    }

    /// Begins a request whose bound is reserved.
    fn begin(&mut self, request: &Request) {
        let holder = self.routers[request.router].member.incarnation;
        let open = receipt_log::OpenAttempt {
            budget: request.budget.clone(),
            bound: request.bound,
        };
        let begun = self.receipt_log.begin(holder, request.id.clone(), 0, open);
        begun.expect("a live holder may begin a new request");
        let reserved = self
            .reserved_tokens
            .entry(request.budget.clone())
            .or_default();
        *reserved += request.bound;
        let end = self.tick + request.seconds * TICKS_PER_SECOND;
        self.running.entry(end).or_default().push(RunningRequest {
            request: request.clone(),
            holder,
        });
    }

    /// Ends the requests that are due: the agent charges them, and the router that began them
    /// counts the receipt if it still lives.
    fn finish_requests(&mut self) {
        for RunningRequest { request, holder } in
            self.running.remove(&self.tick).unwrap_or_default()
        {
            let Request {
                id,
                budget,
                bound,
                tokens,
                ..
            } = request;
            *self.used_tokens.entry(budget.clone()).or_default() += tokens;
            *self.reserved_tokens.entry(budget.clone()).or_default() -= bound;
            let charged = self
                .receipt_log
                .charge(holder, id.clone(), budget.clone(), tokens);
            self.receipt_log.end(holder, &id, 0);
            let router = &self.routers[request.router];
            if router.member.incarnation == holder {
                router.escrow.count_receipt(AGENT_INCARNATION, &charged);
                router.escrow.release(&budget, bound);
            }
        }
    }

    /// Lets a request wait if it would fit once the router's reserved tokens are released; refuses
    /// it otherwise, and in designs without waiting.
    fn queue_or_refuse(&mut self, request: Request) {
        let escrow = &self.routers[request.router].escrow;
        let may_fit_later = escrow.with_account(&request.budget, |account| {
            account.available() + account.reserved >= request.bound
        });
        if self.design == Design::Waiting && may_fit_later {
            let until_tick = self.tick + MAX_WAIT_TICKS;
            return self.waiting.push(WaitingRequest {
                request,
                until_tick,
            });
        }
        self.count_refusal(&request.budget, request.bound);
    }

    /// Tries the waiting requests again. Only a request's last try may obtain tokens from the
    /// ledger and the peers.
    fn retry_waiting(&mut self) {
        for waiting in std::mem::take(&mut self.waiting) {
            let last = self.tick >= waiting.until_tick;
            if self.try_begin(&waiting.request, last) {
                continue;
            }
            if last {
                self.count_refusal(&waiting.request.budget, waiting.request.bound);
            } else {
                self.waiting.push(waiting);
            }
        }
    }

    /// Counts a refusal. It is false when the latest total, less all used and reserved tokens of
    /// the budget, would have covered the request.
    fn count_refusal(&mut self, budget: &name::Name, bound: u64) {
        let total = self
            .totals_by_version
            .last()
            .expect("there is a first configuration")[budget];
        let used = self.used_tokens.get(budget).copied().unwrap_or(0);
        let reserved = self.reserved_tokens.get(budget).copied().unwrap_or(0);
        if total.saturating_sub(used + reserved) >= bound {
            self.report.false_refusals += 1;
        } else {
            self.report.true_refusals += 1;
        }
    }
}
