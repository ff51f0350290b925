//! A small fleet over the pure token logic, driven by one seeded random source.

use std::collections::{BTreeMap, BTreeSet};

use fulmarproxy::{
    coordination::{closing, draw, escrow, receipt_log, refill},
    state::{holder_record, ledger, member, name, receipt},
};

const STEPS: usize = 160;
const BUDGETS: [&str; 2] = ["desk", "shop"];
const FIRST_TOTAL: u64 = 300;
const MAX_HOLDERS: usize = 7;
const MAX_AGENTS: usize = 5;

/// A deliberate fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wrong {
    Nothing,
    AskerAdds,
    GiverLate,
    ReturnRaised,
    NoPromises,
    NoFlows,
    ReceiptTwice,
    StaleLimit,
    LostReleased,
    OlderRecord,
}

struct Attempt {
    agent: usize,
    budget: name::Name,
    bound: u64,
    lost: bool,
}

struct Holder {
    member: member::Member,
    escrow: escrow::Escrow,
    attempts: BTreeMap<name::Name, Attempt>,
    promised: BTreeSet<u64>,
    version: u64,
    paused: bool,
    crashed: bool,
    stopped: bool,
    seq: u64,
}

struct Agent {
    log: receipt_log::ReceiptLog,
    running: Vec<(usize, name::Name, name::Name, u64)>,
    alive: bool,
}

struct Charge {
    id: name::Name,
    holder: usize,
    agent: usize,
    number: u64,
    budget: name::Name,
    tokens: u64,
    settled: bool,
    void: bool,
}

#[derive(Clone)]
enum Message {
    Dispatch {
        holder: usize,
        agent: usize,
        id: name::Name,
        budget: name::Name,
        bound: u64,
    },
    Outcome {
        holder: usize,
        id: name::Name,
        receipt: Option<receipt::Receipt>,
    },
    DrawCall {
        giver: usize,
        asker: usize,
        budget: name::Name,
        received: u64,
        wanted: u64,
    },
    DrawReply {
        giver: usize,
        asker: usize,
        budget: name::Name,
        given: u64,
    },
    Write {
        holder: usize,
        number: u64,
        expected: u64,
        bucket: ledger::Bucket,
    },
    Written {
        holder: usize,
        bucket: ledger::Bucket,
    },
}

pub struct World {
    rng: fastrand::Rng,
    wrong: Wrong,
    holders: Vec<Holder>,
    agents: Vec<Agent>,
    net: Vec<Message>,
    buckets: BTreeMap<u64, (u64, ledger::Bucket)>,
    records: BTreeMap<u64, holder_record::HolderRecord>,
    fences: BTreeSet<u64>,
    totals: Vec<BTreeMap<name::Name, u64>>,
    charges: Vec<Charge>,
    ran: BTreeMap<name::Name, u64>,
    written_off: BTreeMap<(usize, name::Name), u64>,
    frozen: BTreeMap<(name::Name, u64, u64), Flow>,
    requests: u64,
}

/// Tokens that a holder ever gave to and received from another.
type Flow = (Option<u64>, Option<u64>);

type Checked = Result<(), String>;

fn check(holds: bool, fault: impl FnOnce() -> String) -> Checked {
    if holds { Ok(()) } else { Err(fault()) }
}

/// Runs one interleaving; the error tells which property broke.
pub fn run(seed: u64, wrong: Wrong) -> Checked {
    let mut world = World::new(seed, wrong);
    for step in 0..STEPS {
        let done = world.step().and_then(|()| world.check_always());
        done.map_err(|fault| format!("step {step}: {fault}"))?;
    }
    world.quiesce()
}

impl World {
    fn new(seed: u64, wrong: Wrong) -> Self {
        let totals = BUDGETS.map(|budget| (budget.into(), FIRST_TOTAL));
        let mut world = Self {
            rng: fastrand::Rng::with_seed(seed),
            wrong,
            holders: Vec::new(),
            agents: Vec::new(),
            net: Vec::new(),
            buckets: BTreeMap::new(),
            records: BTreeMap::new(),
            fences: BTreeSet::new(),
            totals: vec![totals.into()],
            charges: Vec::new(),
            ran: BTreeMap::new(),
            written_off: BTreeMap::new(),
            frozen: BTreeMap::new(),
            requests: 0,
        };
        for _ in 0..3 {
            world.add_holder();
            world.add_agent();
        }
        world
    }

    fn add_holder(&mut self) {
        let incarnation = self.holders.len() as u64 + 1;
        let name: name::Name = format!("router-{incarnation}").into();
        let holder = Holder {
            member: member::Member {
                name: name.clone(),
                incarnation,
                address: name.clone(),
                region: name.clone(),
                zone: name,
            },
            escrow: escrow::Escrow::default(),
            attempts: BTreeMap::new(),
            promised: self.fences.clone(),
            version: 1,
            paused: false,
            crashed: false,
            stopped: false,
            seq: 0,
        };
        self.holders.push(holder);
        let last = self.holders.len() - 1;
        self.flush(last);
    }

    fn add_agent(&mut self) {
        let mut log = receipt_log::ReceiptLog::default();
        log.fence_holders(self.fences.iter().copied());
        self.agents.push(Agent {
            log,
            running: Vec::new(),
            alive: true,
        });
    }

    fn budget(&mut self) -> name::Name {
        BUDGETS[self.rng.usize(..BUDGETS.len())].into()
    }

    fn active(&self, holder: usize) -> bool {
        let holder = &self.holders[holder];
        !holder.crashed && !holder.paused && !holder.stopped
    }

    fn step(&mut self) -> Checked {
        let holder = self.rng.usize(..self.holders.len());
        let agent = self.rng.usize(..self.agents.len());
        match self.rng.u32(..100) {
            0..18 => self.dispatch(holder, agent),
            18..50 => self.deliver_any(),
            50..54 => self.drop_any(),
            54..58 => self.repeat_any(),
            58..70 => self.finish(agent),
            70..80 => self.refill(holder),
            80..85 => self.flush(holder),
            85..89 => self.ask_peer(holder),
            89..91 => self.holders[holder].paused ^= true,
            91 => self.crash(holder),
            92 => self.replace(agent),
            93..96 => self.sync(holder),
            96 => self.publish(),
            97 => self.fence(holder),
            _ => return self.recover(),
        }
        Ok(())
    }

    fn dispatch(&mut self, holder: usize, agent: usize) {
        let (budget, bound) = (self.budget(), self.rng.u64(1..25));
        let state = &mut self.holders[holder];
        let agents = &self.records[&state.member.incarnation].agents;
        let admitted = agents.contains(&(agent as u64));
        if state.crashed || state.paused || state.stopped || !admitted {
            return;
        }
        if state.escrow.reserve(&budget, bound).is_err() {
            return;
        }
        self.requests += 1;
        let id: name::Name = format!("r{}", self.requests).into();
        let attempt = Attempt {
            agent,
            budget: budget.clone(),
            bound,
            lost: false,
        };
        state.attempts.insert(id.clone(), attempt);
        self.net.push(Message::Dispatch {
            holder,
            agent,
            id,
            budget,
            bound,
        });
    }

    fn deliver_any(&mut self) {
        if !self.net.is_empty() {
            let index = self.rng.usize(..self.net.len());
            let message = self.net.swap_remove(index);
            self.deliver(message);
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Dispatch {
                holder,
                agent,
                id,
                budget,
                bound,
            } => self.begin(holder, agent, id, budget, bound),
            Message::Outcome {
                holder,
                id,
                receipt,
            } => self.outcome(holder, id, receipt),
            Message::DrawCall {
                giver,
                asker,
                budget,
                received,
                wanted,
            } => self.give(giver, asker, budget, received, wanted),
            Message::DrawReply {
                giver,
                asker,
                budget,
                given,
            } => self.accept(giver, asker, &budget, given),
            Message::Write {
                holder,
                number,
                expected,
                bucket,
            } => self.write(holder, number, expected, bucket),
            Message::Written { holder, bucket } => self.learn(holder, &bucket),
        }
    }

    fn lose(&mut self, message: &Message) {
        let (Message::Dispatch { holder, id, .. } | Message::Outcome { holder, id, .. }) = message
        else {
            return;
        };
        if let Some(attempt) = self.holders[*holder].attempts.get_mut(id) {
            attempt.lost = true;
        }
    }

    fn drop_any(&mut self) {
        if !self.net.is_empty() {
            let index = self.rng.usize(..self.net.len());
            let message = self.net.swap_remove(index);
            self.lose(&message);
        }
    }

    /// Repeats a message, or lets the caller give up on it while it is still on its way.
    fn repeat_any(&mut self) {
        if self.net.is_empty() {
            return;
        }
        let message = self.net[self.rng.usize(..self.net.len())].clone();
        match message {
            Message::Dispatch { .. } => self.lose(&message),
            message => self.net.push(message),
        }
    }

    fn begin(
        &mut self,
        holder: usize,
        agent: usize,
        id: name::Name,
        budget: name::Name,
        bound: u64,
    ) {
        if !self.agents[agent].alive {
            return self.lose(&Message::Outcome {
                holder,
                id,
                receipt: None,
            });
        }
        let incarnation = self.holders[holder].member.incarnation;
        let state = &mut self.agents[agent];
        let open = receipt_log::OpenAttempt {
            budget: budget.clone(),
            bound,
        };
        match state.log.begin(incarnation, id.clone(), 0, open) {
            Ok(()) => state.running.push((holder, id, budget, bound)),
            Err(_) => self.net.push(Message::Outcome {
                holder,
                id,
                receipt: None,
            }),
        }
    }

    fn finish(&mut self, agent: usize) {
        if self.agents[agent].running.is_empty() {
            return;
        }
        let index = self.rng.usize(..self.agents[agent].running.len());
        let (holder, id, budget, bound) = self.agents[agent].running.swap_remove(index);
        let tokens = self.rng.u64(1..=bound);
        *self.ran.entry(budget.clone()).or_default() += tokens;
        let incarnation = self.holders[holder].member.incarnation;
        let log = &mut self.agents[agent].log;
        let receipt = log.charge(incarnation, id.clone(), budget.clone(), tokens);
        log.end(incarnation, &id, 0);
        self.charges.push(Charge {
            id: id.clone(),
            holder,
            agent,
            number: receipt.number,
            budget,
            tokens,
            settled: false,
            void: false,
        });
        let receipt = Some(receipt);
        self.net.push(Message::Outcome {
            holder,
            id,
            receipt,
        });
    }

    fn settle(&mut self, holder: usize, agent: usize, receipt: &receipt::Receipt) {
        let escrow = &self.holders[holder].escrow;
        if !escrow.count_receipt(agent as u64, receipt) && self.wrong == Wrong::ReceiptTwice {
            escrow.with_account(&receipt.budget, |account| {
                account.figures.spent += receipt.tokens;
            });
        }
        let same = |charge: &&mut Charge| {
            charge.holder == holder && charge.agent == agent && charge.number == receipt.number
        };
        if let Some(charge) = self.charges.iter_mut().find(same) {
            charge.settled = true;
        }
    }

    fn outcome(&mut self, holder: usize, id: name::Name, receipt: Option<receipt::Receipt>) {
        if !self.active(holder) {
            return self.lose(&Message::Outcome {
                holder,
                id,
                receipt,
            });
        }
        let Some(attempt) = self.holders[holder].attempts.get(&id) else {
            return;
        };
        let (agent, budget, bound) = (attempt.agent, attempt.budget.clone(), attempt.bound);
        match &receipt {
            Some(receipt) => {
                self.settle(holder, agent, receipt);
                if self.wrong == Wrong::ReceiptTwice {
                    self.settle(holder, agent, receipt);
                }
            }
            None if attempt.lost => return,
            None => (),
        }
        self.holders[holder].escrow.release(&budget, bound);
        self.holders[holder].attempts.remove(&id);
    }

    fn ask_peer(&mut self, asker: usize) {
        let giver = self.rng.usize(..self.holders.len());
        let budget = self.budget();
        let incarnation = self.holders[giver].member.incarnation;
        if giver == asker || !self.active(asker) || self.barred(asker, incarnation) {
            return;
        }
        let escrow = &self.holders[asker].escrow;
        let received = escrow.with_account(&budget, |account| draw::received(account, incarnation));
        let wanted = self.rng.u64(1..30);
        self.net.push(Message::DrawCall {
            giver,
            asker,
            budget,
            received,
            wanted,
        });
    }

    fn barred(&self, holder: usize, other: u64) -> bool {
        self.wrong != Wrong::NoFlows && self.holders[holder].promised.contains(&other)
    }

    fn give(&mut self, giver: usize, asker: usize, budget: name::Name, received: u64, wanted: u64) {
        let incarnation = self.holders[asker].member.incarnation;
        if !self.active(giver) || self.barred(giver, incarnation) {
            return;
        }
        let late = self.wrong == Wrong::GiverLate;
        let given = self.holders[giver].escrow.with_account(&budget, |account| {
            let before = account.figures.clone();
            let given = draw::give(account, incarnation, received, wanted);
            if late && given > received {
                account.figures = before;
            }
            given
        });
        self.net.push(Message::DrawReply {
            giver,
            asker,
            budget,
            given,
        });
    }

    fn accept(&mut self, giver: usize, asker: usize, budget: &str, given: u64) {
        let incarnation = self.holders[giver].member.incarnation;
        if !self.active(asker) || self.barred(asker, incarnation) {
            return;
        }
        let adds = self.wrong == Wrong::AskerAdds;
        self.holders[asker].escrow.with_account(budget, |account| {
            if adds {
                *account.figures.received.entry(incarnation).or_default() += given;
            } else {
                draw::accept(account, incarnation, given);
            }
        });
    }

    fn refill(&mut self, holder: usize) {
        if !self.active(holder) {
            return;
        }
        let number = ledger::bucket_of(&self.budget());
        let (expected, mut bucket) = self.buckets.get(&number).cloned().unwrap_or_default();
        self.learn(holder, &bucket);
        if self.rng.bool() {
            self.holders[holder].version = self.totals.len() as u64;
        }
        let version = self.holders[holder].version;
        let mut wants = BTreeMap::new();
        for budget in BUDGETS.map(name::Name::from) {
            if ledger::bucket_of(&budget) != number {
                continue;
            }
            let total = self.totals[version as usize - 1][&budget];
            if self.wrong == Wrong::StaleLimit {
                bucket.entries.entry(budget.clone()).or_default().total = total;
            }
            let change = self.change(holder, &budget);
            let want = refill::ChangeRequest {
                change,
                total,
                version,
            };
            wants.insert(budget, want);
        }
        let incarnation = self.holders[holder].member.incarnation;
        if refill::apply(&mut bucket, incarnation, &wants) {
            self.net.push(Message::Write {
                holder,
                number,
                expected,
                bucket,
            });
        }
    }

    fn change(&mut self, holder: usize, budget: &str) -> refill::Change {
        let (needed, missing) = (self.rng.u64(..30), self.rng.u64(..90));
        let returned = self.rng.bool().then(|| self.rng.u64(1..40));
        self.holders[holder].escrow.with_account(budget, |account| {
            if let Some(returned) = returned {
                account.withhold(returned);
            }
            if account.withheld > 0 && returned.is_some() {
                return refill::Change::Return(account.withheld);
            }
            refill::Change::Grant { needed, missing }
        })
    }

    fn write(&mut self, holder: usize, number: u64, expected: u64, bucket: ledger::Bucket) {
        let slot = self.buckets.entry(number).or_default();
        if slot.0 == expected {
            *slot = (expected + 1, bucket.clone());
            self.net.push(Message::Written { holder, bucket });
        } else if self.wrong == Wrong::ReturnRaised {
            let escrow = &self.holders[holder].escrow;
            for budget in bucket.entries.keys() {
                escrow.with_account(budget, |account| account.withheld = 0);
            }
        }
    }

    fn learn(&mut self, holder: usize, bucket: &ledger::Bucket) {
        if !self.active(holder) {
            return;
        }
        let raised = self.wrong == Wrong::ReturnRaised;
        let incarnation = self.holders[holder].member.incarnation;
        for budget in bucket.entries.keys() {
            let share = refill::share_of(bucket, incarnation, budget);
            self.holders[holder].escrow.with_account(budget, |account| {
                account.update_share(share);
                if raised {
                    account.withheld = 0;
                }
            });
        }
    }

    fn flush(&mut self, holder: usize) {
        if !self.active(holder) {
            return;
        }
        let state = &mut self.holders[holder];
        for (agent, known) in self.agents.iter().enumerate() {
            let open = state.attempts.values().any(|a| a.agent == agent);
            if !known.alive && !open {
                state.escrow.remove_agent(agent as u64);
            } else if known.alive {
                state.escrow.record_agent(agent as u64);
            }
        }
        state.seq += 1;
        let record = state.escrow.snapshot(&state.member, state.seq);
        let slot = self.records.get(&state.member.incarnation);
        if slot.is_some_and(|found| found.state != holder_record::HolderState::Live) {
            state.stopped = true;
            return;
        }
        for (agent, covered) in &record.covered {
            let log = &mut self.agents[*agent as usize].log;
            log.acknowledge(state.member.incarnation, covered.through);
        }
        let older = self.records.insert(state.member.incarnation, record);
        if let Some(older) = older.filter(|_| self.wrong == Wrong::OlderRecord) {
            self.records.insert(state.member.incarnation, older);
        }
    }

    fn crash(&mut self, holder: usize) {
        if self.holders.len() < MAX_HOLDERS && !self.holders[holder].crashed {
            self.holders[holder].crashed = true;
            self.add_holder();
        }
    }

    fn replace(&mut self, agent: usize) {
        if self.agents.len() >= MAX_AGENTS || !self.agents[agent].alive {
            return;
        }
        self.agents[agent].alive = false;
        for (_, _, budget, bound) in std::mem::take(&mut self.agents[agent].running) {
            *self.ran.entry(budget).or_default() += self.rng.u64(..=bound);
        }
        for charge in &mut self.charges {
            charge.void |= charge.agent == agent && !charge.settled;
        }
        for holder in &mut self.holders {
            for attempt in holder.attempts.values_mut() {
                attempt.lost |= attempt.agent == agent;
            }
        }
        let gone = |message: &Message| matches!(message, Message::Dispatch { agent: to, .. } if *to == agent);
        self.net.retain(|message| !gone(message));
        let outcomes = |message: &Message| match message {
            Message::Outcome { holder, id, .. } => {
                let attempt = self.holders[*holder].attempts.get(id);
                attempt.is_some_and(|attempt| attempt.agent == agent)
            }
            _ => false,
        };
        self.net.retain(|message| !outcomes(message));
        self.add_agent();
    }

    /// Asks the agents of lost attempts what became of them.
    fn sync(&mut self, holder: usize) {
        if !self.active(holder) {
            return;
        }
        let lost = |(id, attempt): (&name::Name, &Attempt)| attempt.lost.then(|| id.clone());
        let attempts = &self.holders[holder].attempts;
        let lost: Vec<_> = attempts.iter().filter_map(lost).collect();
        for id in lost {
            let attempt = &self.holders[holder].attempts[&id];
            let (agent, budget, bound) = (attempt.agent, attempt.budget.clone(), attempt.bound);
            if !self.agents[agent].alive {
                self.holders[holder].escrow.write_off(&budget, bound);
                *self.written_off.entry((holder, budget)).or_default() += bound;
                self.holders[holder].attempts.remove(&id);
            } else if self.wrong == Wrong::LostReleased || self.resolve(holder, agent, &id) {
                self.holders[holder].escrow.release(&budget, bound);
                self.holders[holder].attempts.remove(&id);
            }
        }
    }

    fn resolve(&mut self, holder: usize, agent: usize, id: &name::Name) -> bool {
        let incarnation = self.holders[holder].member.incarnation;
        let after = self.holders[holder].escrow.covered_through(agent as u64);
        let log = &mut self.agents[agent].log;
        log.forbid_request(id.clone());
        let receipts = log.receipts_after(incarnation, after);
        for receipt in receipts.iter().filter(|receipt| receipt.is_charged()) {
            self.settle(holder, agent, receipt);
        }
        !receipts
            .iter()
            .any(|receipt| !receipt.is_charged() && receipt.request == *id)
    }

    /// Publishes a top-up, or a cut that is capped first.
    fn publish(&mut self) {
        let budget = self.budget();
        let mut totals = self.totals.last().cloned().unwrap_or_default();
        let version = self.totals.len() as u64 + 1;
        let number = ledger::bucket_of(&budget);
        let slot = self.buckets.entry(number).or_default();
        let entry = slot.1.entries.entry(budget.clone()).or_default();
        let total = totals[&budget];
        if self.rng.bool() {
            totals.insert(budget, total + self.rng.u64(..100));
            return self.totals.push(totals);
        }
        let committed = u64::try_from(entry.committed()).unwrap_or(0);
        let cut = committed.max(total.saturating_sub(self.rng.u64(..100)));
        entry.cap = Some(ledger::Cap {
            tokens: cut,
            version,
        });
        slot.0 += 1;
        totals.insert(budget, cut);
        self.totals.push(totals);
    }

    /// Fences a holder that is suspected, rightly or not.
    fn fence(&mut self, holder: usize) {
        let suspected = &self.holders[holder];
        let live = self
            .holders
            .iter()
            .filter(|other| !other.stopped && !other.crashed);
        if suspected.crashed || suspected.paused && live.count() > 1 {
            self.fences.insert(suspected.member.incarnation);
        }
    }

    fn state(&self, holder: u64) -> holder_record::HolderState {
        self.records[&holder].state
    }

    /// One pass of the recovery; any of its steps may be the last one done.
    fn recover(&mut self) -> Checked {
        let Some(closing) = self.collect() else {
            return Ok(());
        };
        let numbers: BTreeSet<_> = BUDGETS.iter().map(|b| ledger::bucket_of(b)).collect();
        for number in numbers {
            if self.rng.u32(..6) == 0 {
                return Ok(());
            }
            self.close_bucket(&closing, number)?;
        }
        for holder in closing.dead.keys() {
            let record = self.records.get_mut(holder);
            record.expect("the record exists").state = holder_record::HolderState::Closed;
        }
        Ok(())
    }

    /// Gathers the promises; `None` while a member does not answer.
    fn collect(&mut self) -> Option<closing::Closing> {
        let mut closing = closing::Closing::default();
        for holder in self.fences.clone() {
            let record = self.records.get_mut(&holder)?;
            if record.state == holder_record::HolderState::Closed {
                closing.closed.insert(holder);
                continue;
            }
            record.state = holder_record::HolderState::Fenced;
            closing.dead.insert(holder, record.clone());
        }
        if closing.dead.is_empty() {
            return None;
        }
        self.promise_routers(&mut closing)?;
        if self.wrong == Wrong::NoPromises {
            return Some(closing);
        }
        self.promise_agents(&mut closing)?;
        Some(closing)
    }

    fn promise_routers(&mut self, closing: &mut closing::Closing) -> Option<()> {
        for holder in 0..self.holders.len() {
            let incarnation = self.holders[holder].member.incarnation;
            if self.fences.contains(&incarnation) {
                continue;
            }
            if !self.active(holder) {
                return None;
            }
            self.holders[holder].promised.extend(closing.dead.keys());
            self.flush(holder);
            let record = self.records[&incarnation].clone();
            closing.live.insert(incarnation, record);
        }
        Some(())
    }

    fn promise_agents(&mut self, closing: &mut closing::Closing) -> Option<()> {
        let dead: Vec<_> = closing.dead.keys().copied().collect();
        for (agent, state) in self.agents.iter_mut().enumerate() {
            if state.alive {
                state.log.fence_holders(dead.iter().copied());
            }
            for holder in &dead {
                if !state.alive {
                    closing.mark_lost(agent as u64, *holder);
                    continue;
                }
                let record = &closing.dead[holder];
                let covered = record.covered.get(&(agent as u64));
                let through = covered.map_or(0, |covered| covered.through);
                let receipts = state.log.receipts_after(*holder, through);
                if receipts.iter().any(|receipt| !receipt.is_charged()) {
                    return None;
                }
                closing.add_receipts(agent as u64, *holder, receipts);
            }
        }
        Some(())
    }

    fn close_bucket(&mut self, closing: &closing::Closing, number: u64) -> Checked {
        let (revision, before) = self.buckets.get(&number).cloned().unwrap_or_default();
        let mut after = before.clone();
        let Some(settled) = closing.settle(number, &mut after) else {
            return Ok(());
        };
        self.buckets.insert(number, (revision + 1, after));
        let dead: BTreeSet<_> = closing.dead.keys().copied().collect();
        let dead: BTreeSet<_> = dead.difference(&before.done).copied().collect();
        for (budget, settled) in settled {
            self.freeze(closing, &dead, &budget);
            let lost = dead.iter().any(|holder| closing.lost.contains(holder));
            if lost {
                check(settled.freed == 0, || format!("{budget}: freed lost work"))?;
                continue;
            }
            let expected = self.expected_left(&before, &dead, &budget);
            check(i128::from(settled.freed) == expected, || {
                format!("{budget}: closing freed {}, not {expected}", settled.freed)
            })?;
        }
        Ok(())
    }

    /// Notes the flows between live and dead holders: they must not change any more.
    fn freeze(&mut self, closing: &closing::Closing, dead: &BTreeSet<u64>, budget: &name::Name) {
        for live in closing.live.keys() {
            for dead in dead {
                let flow = self.flow(*live, *dead, budget);
                self.frozen.insert((budget.clone(), *live, *dead), flow);
            }
        }
    }

    fn flow(&self, live: u64, dead: u64, budget: &name::Name) -> Flow {
        let holder = &self.holders[live as usize - 1];
        holder.escrow.with_account(budget, |account| {
            let figures = &account.figures;
            let given = figures.given.get(&dead).copied();
            (given, figures.received.get(&dead).copied())
        })
    }

    fn check_frozen(&self) -> Checked {
        for ((budget, live, dead), flow) in &self.frozen {
            check(self.flow(*live, *dead, budget) == *flow, || {
                format!("{budget}: {live} traded with the closed {dead}")
            })?;
        }
        Ok(())
    }

    /// Tokens that dead holders have left, from what really happened.
    fn expected_left(
        &self,
        bucket: &ledger::Bucket,
        dead: &BTreeSet<u64>,
        budget: &name::Name,
    ) -> i128 {
        let mut left = 0;
        for (index, holder) in self.holders.iter().enumerate() {
            let incarnation = holder.member.incarnation;
            let figures = holder.escrow.with_account(budget, |a| a.figures.clone());
            if dead.contains(&incarnation) {
                left += i128::from(refill::share_of(bucket, incarnation, budget).granted);
                left -= i128::from(self.booked(index, budget));
                let done = |other: &u64| bucket.done.contains(other) || self.is_closed(*other);
                left += sum(&figures.received, done) - sum(&figures.given, done);
            } else if !bucket.done.contains(&incarnation) && !self.is_closed(incarnation) {
                let other = |other: &u64| dead.contains(other);
                left += sum(&figures.given, other) - sum(&figures.received, other);
            }
        }
        left
    }

    fn is_closed(&self, holder: u64) -> bool {
        self.state(holder) == holder_record::HolderState::Closed
    }

    /// Tokens that a holder has to answer for.
    fn booked(&self, holder: usize, budget: &name::Name) -> u64 {
        let mine = |charge: &&Charge| charge.holder == holder && charge.budget == *budget;
        let charges = self.charges.iter().filter(mine);
        let charged: u64 = charges.filter(|c| !c.void).map(|c| c.tokens).sum();
        let key = (holder, budget.clone());
        charged + self.written_off.get(&key).copied().unwrap_or(0)
    }

    fn check_always(&self) -> Checked {
        self.check_frozen()?;
        for budget in BUDGETS.map(name::Name::from) {
            let number = ledger::bucket_of(&budget);
            let entry = self
                .buckets
                .get(&number)
                .and_then(|b| b.1.entries.get(&budget));
            let Some(entry) = entry else { continue };
            let ran = self.ran.get(&budget).copied().unwrap_or(0);
            check(ran <= entry.total, || {
                format!("{budget}: {ran} tokens ran of {}", entry.total)
            })?;
            check(entry.committed() <= i128::from(entry.total), || {
                format!("{budget}: more committed than there is")
            })?;
            let published = match entry.version as usize {
                0 => 0,
                version => self.totals[version - 1][&budget],
            };
            check(entry.total == published, || {
                format!("{budget}: the total is {}, not {published}", entry.total)
            })?;
            self.check_holders(&budget, entry)?;
        }
        Ok(())
    }

    /// Bounds of the open attempts whose charge the holder has not counted yet.
    fn uncounted(&self, holder: &Holder, budget: &name::Name) -> u64 {
        let counted = |id: &name::Name| self.charges.iter().any(|c| c.id == *id && c.settled);
        let open = holder.attempts.iter().filter(|(_, a)| a.budget == *budget);
        let uncounted = open.filter(|(id, _)| !counted(id));
        uncounted.map(|(_, attempt)| attempt.bound).sum()
    }

    fn check_holders(&self, budget: &name::Name, entry: &ledger::Entry) -> Checked {
        let mut granted = 0;
        let mut held = 0;
        let mut to_closed = 0;
        let mut moving = 0;
        let open = |holder: &u64| {
            let number = ledger::bucket_of(budget);
            !self.is_closed(*holder) && !self.buckets[&number].1.done.contains(holder)
        };
        for holder in &self.holders {
            let incarnation = holder.member.incarnation;
            if !open(&incarnation) {
                continue;
            }
            let account = holder
                .escrow
                .with_account(budget, |account| account.clone());
            let share = entry.shares.get(&incarnation).map_or(0, |s| s.granted);
            let (given, received) = (&account.figures.given, &account.figures.received);
            let own = i128::from(share) + sum(received, |_| true) - sum(given, |_| true);
            let used = i128::from(account.figures.spent + self.uncounted(holder, budget));
            check(used <= own, || {
                format!("{budget}: holder {incarnation} uses {used} of {own}")
            })?;
            granted += i128::from(share);
            held += own;
            to_closed += sum(given, |h| !open(h)) - sum(received, |h| !open(h));
            for (asker, tokens) in given.iter().filter(|(asker, _)| open(asker)) {
                let asker = &self.holders[*asker as usize - 1];
                let taken = asker
                    .escrow
                    .with_account(budget, |a| draw::received(a, incarnation));
                check(taken <= *tokens, || {
                    format!("{budget}: {taken} received of {tokens}")
                })?;
                moving += i128::from(*tokens) - i128::from(taken);
            }
        }
        check(granted == held + moving + to_closed, || {
            format!("{budget}: {granted} granted, {held} held, {moving} moving")
        })?;
        let free = i128::from(entry.total) - entry.committed();
        let sum = free + held + moving + to_closed + i128::from(entry.closed);
        let zombies = entry.shares.iter().filter(|(holder, _)| !open(holder));
        let zombies: u64 = zombies.map(|(_, share)| share.granted).sum();
        check(sum + i128::from(zombies) == i128::from(entry.total), || {
            format!("{budget}: the parts sum to {sum}, not {}", entry.total)
        })
    }

    /// Lets everything arrive and settle, then checks that each charge is counted once.
    fn quiesce(&mut self) -> Checked {
        for holder in &mut self.holders {
            holder.paused = false;
        }
        while !self.net.is_empty() {
            self.deliver_any();
            self.check_always()?;
        }
        for agent in 0..self.agents.len() {
            while !self.agents[agent].running.is_empty() {
                self.finish(agent);
            }
        }
        while !self.net.is_empty() {
            self.deliver_any();
        }
        for holder in 0..self.holders.len() {
            self.flush(holder);
            self.sync(holder);
            self.flush(holder);
            self.fence(holder);
        }
        for _ in 0..20 {
            self.recover()?;
            self.check_always()?;
        }
        for (index, holder) in self.holders.iter().enumerate() {
            if holder.crashed || holder.stopped {
                let closed = self.is_closed(holder.member.incarnation);
                check(closed, || format!("{} is not closed", holder.member.name))?;
                continue;
            }
            check(holder.attempts.is_empty(), || {
                "an attempt is open".to_owned()
            })?;
            for budget in BUDGETS.map(name::Name::from) {
                let spent = holder.escrow.with_account(&budget, |a| a.figures.spent);
                let booked = self.booked(index, &budget);
                check(spent == booked, || {
                    format!("{budget}: {spent} counted of {booked} booked")
                })?;
            }
        }
        Ok(())
    }
}

fn sum(figures: &BTreeMap<u64, u64>, counts: impl Fn(&u64) -> bool) -> i128 {
    let counted = figures.iter().filter(|(holder, _)| counts(holder));
    counted.map(|(_, tokens)| i128::from(*tokens)).sum()
}
