//! A fleet over the pure token logic in a small discrete-event loop.

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

const TICKS_PER_SECOND: u64 = 4;
const WAIT_TICKS: u64 = 2 * TICKS_PER_SECOND;
const CLOSING_DELAY: u64 = 15 * TICKS_PER_SECOND;
const AGENT: u64 = 1;

/// A version of the design.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd)]
pub enum Version {
    #[display("fixed equal shares")]
    Fixed,
    #[display("demand-sized grants")]
    Demand,
    #[display("with peer draws")]
    Draws,
    #[display("with waiting")]
    Waiting,
}

impl Version {
    pub const ALL: [Self; 4] = [Self::Fixed, Self::Demand, Self::Draws, Self::Waiting];
}

/// What one run showed.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub requests: u64,
    pub overspend: u64,
    pub false_refusals: u64,
    pub true_refusals: u64,
    pub writes: u64,
    pub record_writes: u64,
    pub reads: u64,
}

struct Router {
    member: member::Member,
    escrow: escrow::Escrow,
    written: Option<holder_record::HolderRecord>,
    promised: BTreeSet<u64>,
    version: u64,
}

/// A request, the same for every version.
#[derive(Clone)]
struct Request {
    id: name::Name,
    router: usize,
    budget: name::Name,
    bound: u64,
    tokens: u64,
    seconds: u64,
}

struct Running {
    request: Request,
    holder: u64,
}

struct Waiting {
    request: Request,
    until: u64,
}

pub struct Fleet<'a> {
    workload: &'a Workload,
    version: Version,
    rng: fastrand::Rng,
    routers: Vec<Router>,
    agent: receipt_log::ReceiptLog,
    buckets: BTreeMap<u64, ledger::Bucket>,
    records: BTreeMap<u64, holder_record::HolderRecord>,
    closed: BTreeSet<u64>,
    dead: BTreeMap<u64, u64>,
    totals: Vec<BTreeMap<name::Name, u64>>,
    budgets: Vec<name::Name>,
    running: BTreeMap<u64, Vec<Running>>,
    waiting: Vec<Waiting>,
    used: BTreeMap<name::Name, u64>,
    reserved: BTreeMap<name::Name, u64>,
    holders: u64,
    report: Report,
    tick: u64,
}

impl<'a> Fleet<'a> {
    pub fn new(workload: &'a Workload, version: Version, seed: u64) -> Self {
        let name = |index| name::Name::from(format!("budget-{index}"));
        let budgets: Vec<_> = (0..workload.totals.len()).map(name).collect();
        let totals = budgets.iter().cloned().zip(workload.totals.iter().copied());
        let mut fleet = Self {
            workload,
            version,
            rng: fastrand::Rng::with_seed(seed),
            routers: Vec::new(),
            agent: receipt_log::ReceiptLog::default(),
            buckets: BTreeMap::new(),
            records: BTreeMap::new(),
            closed: BTreeSet::new(),
            dead: BTreeMap::new(),
            totals: vec![totals.collect()],
            budgets,
            running: BTreeMap::new(),
            waiting: Vec::new(),
            used: BTreeMap::new(),
            reserved: BTreeMap::new(),
            holders: 0,
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
        self.holders += 1;
        let name: name::Name = format!("entry-{}", self.holders).into();
        Router {
            member: member::Member {
                name: name.clone(),
                incarnation: self.holders,
                address: name.clone(),
                region: name.clone(),
                zone: name,
            },
            escrow: escrow::Escrow::default(),
            written: None,
            promised: self.dead.keys().copied().collect(),
            version: self.totals.len() as u64,
        }
    }

    pub fn run(mut self) -> Report {
        while self.tick < self.workload.seconds * TICKS_PER_SECOND {
            if self.tick.is_multiple_of(TICKS_PER_SECOND) {
                self.each_second(self.tick / TICKS_PER_SECOND);
            }
            self.finish();
            self.retry();
            self.arrivals();
            self.tick += 1;
        }
        for (budget, used) in &self.used {
            let total = self.totals.last().expect("there is one")[budget];
            self.report.overspend += used.saturating_sub(total);
        }
        self.report
    }

    fn now(&self) -> Duration {
        Duration::from_millis(self.tick * 1000 / TICKS_PER_SECOND)
    }

    fn faulty(&self) -> bool {
        self.workload
            .faulty
            .contains(&(self.tick / TICKS_PER_SECOND))
    }

    fn reaches_store(&self, router: usize) -> bool {
        match self.workload.fault {
            _ if !self.faulty() => true,
            Fault::StoreDown => false,
            Fault::Split(first) => router < first,
            Fault::SplitOther(first) => router >= first,
            Fault::None | Fault::Kills(_) => true,
        }
    }

    fn reaches(&self, router: usize, other: usize) -> bool {
        match self.workload.fault {
            Fault::Split(first) | Fault::SplitOther(first) if self.faulty() => {
                (router < first) == (other < first)
            }
            _ => true,
        }
    }

    fn each_second(&mut self, second: u64) {
        if let Some((at, tokens)) = self.workload.top_up
            && at == second
        {
            let mut totals = self.totals.last().cloned().expect("there is one");
            totals.values_mut().for_each(|total| *total += tokens);
            self.totals.push(totals);
        }
        if let Fault::Kills(period) = self.workload.fault
            && second > 0
            && second.is_multiple_of(period)
        {
            self.kill((second / period) as usize % self.routers.len());
        }
        self.close();
        for router in 0..self.routers.len() {
            if !self.reaches_store(router) {
                continue;
            }
            self.routers[router].version = self.totals.len() as u64;
            if self.version != Version::Fixed {
                self.upkeep(router);
            }
            self.flush(router);
        }
    }

    fn kill(&mut self, index: usize) {
        let router = self.new_router();
        let old = std::mem::replace(&mut self.routers[index], router);
        self.dead.insert(old.member.incarnation, self.tick);
        self.waiting
            .retain(|waiting| waiting.request.router != index);
    }

    /// Closes the dead holders whose work at the agent has ended.
    fn close(&mut self) {
        let due = |at: &u64| self.tick >= at + CLOSING_DELAY;
        let due: Vec<_> = self
            .dead
            .iter()
            .filter(|(holder, at)| due(at) && !self.closed.contains(holder))
            .map(|(holder, _)| *holder)
            .collect();
        if due.is_empty() || !self.reaches_store(0) {
            return;
        }
        let mut closing = closing::Closing {
            closed: self.closed.clone(),
            ..Default::default()
        };
        self.agent.fence_holders(due.iter().copied());
        for holder in &due {
            let receipts = self.agent.receipts_after(*holder, 0);
            if receipts.iter().any(|receipt| !receipt.is_charged()) {
                return;
            }
            if let Some(record) = self.records.get(holder) {
                closing.dead.insert(*holder, record.clone());
                closing.add_receipts(AGENT, *holder, receipts);
            }
        }
        for index in 0..self.routers.len() {
            self.routers[index].promised.extend(&due);
            self.flush(index);
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
        self.report.writes += 2 * due.len() as u64;
        self.closed.extend(due);
    }

    fn flush(&mut self, index: usize) {
        let router = &mut self.routers[index];
        let seq = router.written.as_ref().map_or(0, |written| written.seq);
        let mut record = router.escrow.snapshot(&router.member, seq);
        if router.written.as_ref() == Some(&record) {
            return;
        }
        record.seq += 1;
        let holder = router.member.incarnation;
        if let Some(covered) = record.covered.get(&AGENT) {
            self.agent.acknowledge(holder, covered.through);
        }
        router.written = Some(record.clone());
        self.records.insert(holder, record);
        self.report.writes += 1;
        self.report.record_writes += 1;
    }

    fn upkeep(&mut self, index: usize) {
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
            self.write(index, number, changes);
        }
    }

    /// Reads and writes one bucket.
    fn write(&mut self, index: usize, number: u64, changes: Vec<(name::Name, refill::Change)>) {
        let router = &self.routers[index];
        let version = router.version;
        let totals = &self.totals[version as usize - 1];
        let want = |(budget, change): (name::Name, refill::Change)| {
            let total = totals[&budget];
            let want = refill::ChangeRequest {
                change,
                total,
                version,
            };
            (budget, want)
        };
        let wants: BTreeMap<_, _> = changes.into_iter().map(want).collect();
        let holder = router.member.incarnation;
        let now = self.now();
        let bucket = self.buckets.entry(number).or_default();
        self.report.reads += 1;
        if refill::apply(bucket, holder, &wants) {
            self.report.writes += 1;
        }
        for budget in wants.keys() {
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

    fn take(&mut self, index: usize, budget: &name::Name, tokens: u64) {
        if !self.reaches_store(index) {
            return;
        }
        if self.routers[index].written.is_none() {
            self.flush(index);
        }
        let router = &self.routers[index];
        let total = self.totals[router.version as usize - 1][budget];
        let equal = total / self.workload.routers as u64;
        let fixed = self.version == Version::Fixed;
        let (now, autonomy) = (self.now(), self.workload.autonomy);
        if router
            .escrow
            .with_account(budget, |a| a.ledger_empty.is_current(router.version, now))
        {
            return;
        }
        let change = router.escrow.with_account(budget, |account| {
            let available = account.available();
            if fixed {
                let needed = equal.saturating_sub(account.share.granted);
                return refill::Change::Grant { needed, missing: 0 };
            }
            refill::Change::Grant {
                needed: tokens.saturating_sub(available),
                missing: demand::missing(available, account.demand.target(autonomy)),
            }
        });
        let number = ledger::bucket_of(budget);
        self.write(index, number, vec![(budget.clone(), change)]);
    }

    fn draw(&mut self, index: usize, budget: &name::Name, tokens: u64) {
        let (version, now) = (self.routers[index].version, self.now());
        let escrow = &self.routers[index].escrow;
        if escrow.with_account(budget, |a| a.peers_empty.is_current(version, now)) {
            return;
        }
        self.draw_round(index, budget, tokens);
        let others = self.routers.iter().enumerate();
        let others = others.filter(|(other, _)| *other != index && self.reaches(index, *other));
        let free: u64 = others
            .map(|(_, r)| r.escrow.with_account(budget, |a| a.available()))
            .sum();
        if free == 0 {
            let escrow = &self.routers[index].escrow;
            escrow.with_account(budget, |a| a.peers_empty.set(version, now));
        }
    }

    fn draw_round(&mut self, index: usize, budget: &name::Name, tokens: u64) {
        for parts in [self.routers.len() as u64 - 1, 1] {
            for giver in 0..self.routers.len() {
                let escrow = &self.routers[index].escrow;
                let available = escrow.with_account(budget, |account| account.available());
                let missing = tokens.saturating_sub(available);
                if missing == 0 || giver == index || !self.reaches(index, giver) {
                    continue;
                }
                self.draw_from(index, giver, budget, missing.div_ceil(parts.max(1)));
            }
        }
    }

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

    fn arrivals(&mut self) {
        let chance = self.workload.rate / TICKS_PER_SECOND as f64;
        for router in 0..self.routers.len() {
            if self.rng.f64() >= chance {
                continue;
            }
            let hot = self.rng.f64() < self.workload.hot;
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
            if !self.attempt(&request, true) {
                self.wait_or_refuse(request);
            }
        }
    }

    fn attempt(&mut self, request: &Request, fetch: bool) -> bool {
        let (router, budget, bound) = (request.router, &request.budget, request.bound);
        let mut reserved = self.routers[router].escrow.reserve(budget, bound).is_ok();
        if !reserved && fetch {
            self.take(router, budget, bound);
            reserved = self.routers[router].escrow.reserve(budget, bound).is_ok();
        }
        if !reserved && fetch && self.version >= Version::Draws {
            self.draw(router, budget, bound);
            reserved = self.routers[router].escrow.reserve(budget, bound).is_ok();
        }
        if reserved {
            self.begin(request);
        }
        reserved
    }

    fn begin(&mut self, request: &Request) {
        let holder = self.routers[request.router].member.incarnation;
        let open = receipt_log::OpenAttempt {
            budget: request.budget.clone(),
            bound: request.bound,
        };
        let begun = self.agent.begin(holder, request.id.clone(), 0, open);
        begun.expect("the holder is live");
        let reserved = self.reserved.entry(request.budget.clone()).or_default();
        *reserved += request.bound;
        let end = self.tick + request.seconds * TICKS_PER_SECOND;
        self.running.entry(end).or_default().push(Running {
            request: request.clone(),
            holder,
        });
    }

    fn finish(&mut self) {
        for Running { request, holder } in self.running.remove(&self.tick).unwrap_or_default() {
            let Request {
                id,
                budget,
                bound,
                tokens,
                ..
            } = request;
            *self.used.entry(budget.clone()).or_default() += tokens;
            *self.reserved.entry(budget.clone()).or_default() -= bound;
            let charged = self
                .agent
                .charge(holder, id.clone(), budget.clone(), tokens);
            self.agent.end(holder, &id, 0);
            let router = &self.routers[request.router];
            if router.member.incarnation == holder {
                router.escrow.count_receipt(AGENT, &charged);
                router.escrow.release(&budget, bound);
            }
        }
    }

    fn wait_or_refuse(&mut self, request: Request) {
        let escrow = &self.routers[request.router].escrow;
        let settles = escrow.with_account(&request.budget, |account| {
            account.available() + account.reserved >= request.bound
        });
        if self.version == Version::Waiting && settles {
            let until = self.tick + WAIT_TICKS;
            return self.waiting.push(Waiting { request, until });
        }
        self.refuse(&request.budget, request.bound);
    }

    fn retry(&mut self) {
        for waiting in std::mem::take(&mut self.waiting) {
            let last = self.tick >= waiting.until;
            if self.attempt(&waiting.request, last) {
                continue;
            }
            if last {
                self.refuse(&waiting.request.budget, waiting.request.bound);
            } else {
                self.waiting.push(waiting);
            }
        }
    }

    /// Counts a refusal; it is false when the tokens were there, wherever in the fleet.
    fn refuse(&mut self, budget: &name::Name, bound: u64) {
        let total = self.totals.last().expect("there is one")[budget];
        let used = self.used.get(budget).copied().unwrap_or(0);
        let reserved = self.reserved.get(budget).copied().unwrap_or(0);
        if total.saturating_sub(used + reserved) >= bound {
            self.report.false_refusals += 1;
        } else {
            self.report.true_refusals += 1;
        }
    }
}
