//! Simulates a small fleet on the decision logic for tokens, with one seeded random source.
//!
//! Each step sends, delivers, drops or repeats a message, or changes a member of the fleet. After
//! each step, [`World::check_always`] compares the holders' accounts with the ledger.

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

/// A deliberate fault, which the checks of the simulation must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The simulation follows the real rules.
    None,
    /// The asker of a draw adds the replied total to its figure instead of replacing the figure.
    AskerAddsReply,
    /// The giver of a draw replies without taking the tokens out of its own account.
    GiverKeepsTokens,
    /// A holder makes tokens of a return available again before the ledger shows its outcome.
    ReturnUndoneEarly,
    /// Dead holders are closed without the promises and receipts of the agents.
    NoAgentPromises,
    /// Live holders break the promise to transfer no tokens to or from dead holders.
    NoRouterPromises,
    /// A holder counts a receipt each time that it arrives.
    ReceiptCountedTwice,
    /// A holder sets the ledger's total from its own configuration even when that is older.
    OlderTotalApplied,
    /// A holder releases the tokens of a lost attempt without asking its agent.
    LostAttemptReleased,
    /// An older record of a holder overwrites its newer one.
    OlderRecordWritten,
}

struct Attempt {
    agent: usize,
    budget: name::Name,
    bound: u64,
    /// The outcome was lost or is no longer awaited.
    lost: bool,
}

struct Holder {
    member: member::Member,
    escrow: escrow::Escrow,
    attempts: BTreeMap<name::Name, Attempt>,
    /// Dead holders with which this one has promised to transfer no more tokens.
    promised: BTreeSet<u64>,
    /// Configuration version that the holder follows.
    version: u64,
    /// Handles no messages for now, and may be fenced meanwhile.
    paused: bool,
    crashed: bool,
    /// Stopped because its record was marked as fenced or closed.
    stopped: bool,
    seq: u64,
}

struct Agent {
    log: receipt_log::ReceiptLog,
    /// Running attempts: holder, request, budget and bound.
    running: Vec<(usize, name::Name, name::Name, u64)>,
    alive: bool,
}

/// A charge of an agent, as it really happened.
struct Charge {
    id: name::Name,
    holder: usize,
    agent: usize,
    number: u64,
    budget: name::Name,
    tokens: u64,
    /// The holder counted the charge.
    settled: bool,
    /// The agent was replaced before the holder counted the charge; the attempt is written off.
    void: bool,
}

/// A message in transit.
#[derive(Clone)]
enum Message {
    /// A holder sends an attempt to an agent.
    Dispatch {
        holder: usize,
        agent: usize,
        id: name::Name,
        budget: name::Name,
        bound: u64,
    },
    /// An agent reports the end of an attempt; without a receipt, the attempt did not run.
    Outcome {
        holder: usize,
        id: name::Name,
        receipt: Option<receipt::Receipt>,
    },
    /// A holder asks another for tokens.
    DrawCall {
        giver: usize,
        asker: usize,
        budget: name::Name,
        received: u64,
        wanted: u64,
    },
    /// The reply: all tokens that the giver ever gave to the asker.
    DrawReply {
        giver: usize,
        asker: usize,
        budget: name::Name,
        given: u64,
    },
    /// A holder writes a ledger bucket if it still has the expected revision.
    Write {
        holder: usize,
        number: u64,
        expected: u64,
        bucket: ledger::Bucket,
    },
    /// The ledger confirms a write.
    Written {
        holder: usize,
        bucket: ledger::Bucket,
    },
}

/// The simulated fleet, its ledger and what really happened in it.
pub struct World {
    rng: fastrand::Rng,
    fault: Fault,
    holders: Vec<Holder>,
    agents: Vec<Agent>,
    messages: Vec<Message>,
    /// Ledger buckets by number, with their revisions.
    buckets: BTreeMap<u64, (u64, ledger::Bucket)>,
    records: BTreeMap<u64, holder_record::HolderRecord>,
    fences: BTreeSet<u64>,
    /// Prepaid totals by configuration version, from version 1 on.
    totals: Vec<BTreeMap<name::Name, u64>>,
    charges: Vec<Charge>,
    /// Tokens really used, including those of work at replaced agents.
    tokens_run: BTreeMap<name::Name, u64>,
    written_off: BTreeMap<(usize, name::Name), u64>,
    /// Flows between a live and a closed holder at the time of the closing.
    recorded_flows: BTreeMap<(name::Name, u64, u64), Flow>,
    requests: u64,
}

/// Tokens that one holder ever gave to another, and ever received from it.
type Flow = (Option<u64>, Option<u64>);

type CheckResult = Result<(), String>;

fn check(holds: bool, message: impl FnOnce() -> String) -> CheckResult {
    if holds { Ok(()) } else { Err(message()) }
}

/// Runs one interleaving of events; the error names the property that was violated.
pub fn run(seed: u64, fault: Fault) -> CheckResult {
    let mut world = World::new(seed, fault);
    for step in 0..STEPS {
        let result = world.step().and_then(|()| world.check_always());
        result.map_err(|message| format!("step {step}: {message}"))?;
    }
    world.quiesce()
}

impl World {
    fn new(seed: u64, fault: Fault) -> Self {
        let totals = BUDGETS.map(|budget| (budget.into(), FIRST_TOTAL));
        let mut world = Self {
            rng: fastrand::Rng::with_seed(seed),
            fault,
            holders: Vec::new(),
            agents: Vec::new(),
            messages: Vec::new(),
            buckets: BTreeMap::new(),
            records: BTreeMap::new(),
            fences: BTreeSet::new(),
            totals: vec![totals.into()],
            charges: Vec::new(),
            tokens_run: BTreeMap::new(),
            written_off: BTreeMap::new(),
            recorded_flows: BTreeMap::new(),
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
        self.write_record(last);
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

    fn random_budget(&mut self) -> name::Name {
        BUDGETS[self.rng.usize(..BUDGETS.len())].into()
    }

    fn is_active(&self, holder: usize) -> bool {
        let holder = &self.holders[holder];
        !holder.crashed && !holder.paused && !holder.stopped
    }

    fn step(&mut self) -> CheckResult {
        let holder = self.rng.usize(..self.holders.len());
        let agent = self.rng.usize(..self.agents.len());
        match self.rng.u32(..100) {
            0..18 => self.dispatch_attempt(holder, agent),
            18..50 => self.deliver_random_message(),
            50..54 => self.drop_random_message(),
            54..58 => self.repeat_random_message(),
            58..70 => self.finish_random_attempt(agent),
            70..80 => self.refill_share(holder),
            80..85 => self.write_record(holder),
            85..89 => self.request_draw(holder),
            89..91 => self.holders[holder].paused ^= true,
            91 => self.crash_holder(holder),
            92 => self.replace_agent(agent),
            93..96 => self.resolve_lost_attempts(holder),
            96 => self.publish_total(),
            97 => self.fence_if_suspected(holder),
            _ => return self.close_dead_holders(),
        }
        Ok(())
    }

    fn dispatch_attempt(&mut self, holder: usize, agent: usize) {
        let (budget, bound) = (self.random_budget(), self.rng.u64(1..25));
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
        self.messages.push(Message::Dispatch {
            holder,
            agent,
            id,
            budget,
            bound,
        });
    }

    fn deliver_random_message(&mut self) {
        if !self.messages.is_empty() {
            let index = self.rng.usize(..self.messages.len());
            let message = self.messages.swap_remove(index);
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
            } => self.begin_attempt(holder, agent, id, budget, bound),
            Message::Outcome {
                holder,
                id,
                receipt,
            } => self.receive_outcome(holder, id, receipt),
            Message::DrawCall {
                giver,
                asker,
                budget,
                received,
                wanted,
            } => self.give_draw(giver, asker, budget, received, wanted),
            Message::DrawReply {
                giver,
                asker,
                budget,
                given,
            } => self.accept_draw(giver, asker, &budget, given),
            Message::Write {
                holder,
                number,
                expected,
                bucket,
            } => self.write_bucket(holder, number, expected, bucket),
            Message::Written { holder, bucket } => self.update_shares(holder, &bucket),
        }
    }

    fn mark_lost(&mut self, message: &Message) {
        let (Message::Dispatch { holder, id, .. } | Message::Outcome { holder, id, .. }) = message
        else {
            return;
        };
        if let Some(attempt) = self.holders[*holder].attempts.get_mut(id) {
            attempt.lost = true;
        }
    }

    fn drop_random_message(&mut self) {
        if !self.messages.is_empty() {
            let index = self.rng.usize(..self.messages.len());
            let message = self.messages.swap_remove(index);
            self.mark_lost(&message);
        }
    }

    /// Duplicates a random message in transit. A dispatch is not duplicated: the holder gives up
    /// waiting for its outcome while it is still in transit.
    fn repeat_random_message(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let message = self.messages[self.rng.usize(..self.messages.len())].clone();
        match message {
            Message::Dispatch { .. } => self.mark_lost(&message),
            message => self.messages.push(message),
        }
    }

    fn begin_attempt(
        &mut self,
        holder: usize,
        agent: usize,
        id: name::Name,
        budget: name::Name,
        bound: u64,
    ) {
        if !self.agents[agent].alive {
            return self.mark_lost(&Message::Outcome {
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
            Err(_) => self.messages.push(Message::Outcome {
                holder,
                id,
                receipt: None,
            }),
        }
    }

    fn finish_random_attempt(&mut self, agent: usize) {
        if self.agents[agent].running.is_empty() {
            return;
        }
        let index = self.rng.usize(..self.agents[agent].running.len());
        let (holder, id, budget, bound) = self.agents[agent].running.swap_remove(index);
        let tokens = self.rng.u64(1..=bound);
        *self.tokens_run.entry(budget.clone()).or_default() += tokens;
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
        self.messages.push(Message::Outcome {
            holder,
            id,
            receipt,
        });
    }

    fn count_receipt(&mut self, holder: usize, agent: usize, receipt: &receipt::Receipt) {
        let escrow = &self.holders[holder].escrow;
        if !escrow.count_receipt(agent as u64, receipt) && self.fault == Fault::ReceiptCountedTwice
        {
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

    fn receive_outcome(
        &mut self,
        holder: usize,
        id: name::Name,
        receipt: Option<receipt::Receipt>,
    ) {
        if !self.is_active(holder) {
            return self.mark_lost(&Message::Outcome {
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
                self.count_receipt(holder, agent, receipt);
                if self.fault == Fault::ReceiptCountedTwice {
                    self.count_receipt(holder, agent, receipt);
                }
            }
            None if attempt.lost => return,
            None => (),
        }
        self.holders[holder].escrow.release(&budget, bound);
        self.holders[holder].attempts.remove(&id);
    }

    fn request_draw(&mut self, asker: usize) {
        let giver = self.rng.usize(..self.holders.len());
        let budget = self.random_budget();
        let incarnation = self.holders[giver].member.incarnation;
        if giver == asker
            || !self.is_active(asker)
            || self.has_promised_no_transfers(asker, incarnation)
        {
            return;
        }
        let escrow = &self.holders[asker].escrow;
        let received = escrow.with_account(&budget, |account| draw::received(account, incarnation));
        let wanted = self.rng.u64(1..30);
        self.messages.push(Message::DrawCall {
            giver,
            asker,
            budget,
            received,
            wanted,
        });
    }

    fn has_promised_no_transfers(&self, holder: usize, other: u64) -> bool {
        self.fault != Fault::NoRouterPromises && self.holders[holder].promised.contains(&other)
    }

    fn give_draw(
        &mut self,
        giver: usize,
        asker: usize,
        budget: name::Name,
        received: u64,
        wanted: u64,
    ) {
        let incarnation = self.holders[asker].member.incarnation;
        if !self.is_active(giver) || self.has_promised_no_transfers(giver, incarnation) {
            return;
        }
        let keeps_tokens = self.fault == Fault::GiverKeepsTokens;
        let given = self.holders[giver].escrow.with_account(&budget, |account| {
            let before = account.figures.clone();
            let given = draw::give(account, incarnation, received, wanted);
            if keeps_tokens && given > received {
                account.figures = before;
            }
            given
        });
        self.messages.push(Message::DrawReply {
            giver,
            asker,
            budget,
            given,
        });
    }

    fn accept_draw(&mut self, giver: usize, asker: usize, budget: &str, given: u64) {
        let incarnation = self.holders[giver].member.incarnation;
        if !self.is_active(asker) || self.has_promised_no_transfers(asker, incarnation) {
            return;
        }
        let adds = self.fault == Fault::AskerAddsReply;
        self.holders[asker].escrow.with_account(budget, |account| {
            if adds {
                *account.figures.received.entry(incarnation).or_default() += given;
            } else {
                draw::accept(account, incarnation, given);
            }
        });
    }

    fn refill_share(&mut self, holder: usize) {
        if !self.is_active(holder) {
            return;
        }
        let number = ledger::bucket_of(&self.random_budget());
        let (expected, mut bucket) = self.buckets.get(&number).cloned().unwrap_or_default();
        self.update_shares(holder, &bucket);
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
            if self.fault == Fault::OlderTotalApplied {
                bucket.entries.entry(budget.clone()).or_default().total = total;
            }
            let change = self.random_change(holder, &budget);
            let want = refill::ChangeRequest {
                change,
                total,
                version,
            };
            wants.insert(budget, want);
        }
        let incarnation = self.holders[holder].member.incarnation;
        if refill::apply(&mut bucket, incarnation, &wants) {
            self.messages.push(Message::Write {
                holder,
                number,
                expected,
                bucket,
            });
        }
    }

    fn random_change(&mut self, holder: usize, budget: &str) -> refill::Change {
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

    fn write_bucket(&mut self, holder: usize, number: u64, expected: u64, bucket: ledger::Bucket) {
        let slot = self.buckets.entry(number).or_default();
        if slot.0 == expected {
            *slot = (expected + 1, bucket.clone());
            self.messages.push(Message::Written { holder, bucket });
        } else if self.fault == Fault::ReturnUndoneEarly {
            let escrow = &self.holders[holder].escrow;
            for budget in bucket.entries.keys() {
                escrow.with_account(budget, |account| account.withheld = 0);
            }
        }
    }

    fn update_shares(&mut self, holder: usize, bucket: &ledger::Bucket) {
        if !self.is_active(holder) {
            return;
        }
        let undoes_return = self.fault == Fault::ReturnUndoneEarly;
        let incarnation = self.holders[holder].member.incarnation;
        for budget in bucket.entries.keys() {
            let share = refill::share_of(bucket, incarnation, budget);
            self.holders[holder].escrow.with_account(budget, |account| {
                account.update_share(share);
                if undoes_return {
                    account.withheld = 0;
                }
            });
        }
    }

    fn write_record(&mut self, holder: usize) {
        if !self.is_active(holder) {
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
        if let Some(older) = older.filter(|_| self.fault == Fault::OlderRecordWritten) {
            self.records.insert(state.member.incarnation, older);
        }
    }

    fn crash_holder(&mut self, holder: usize) {
        if self.holders.len() < MAX_HOLDERS && !self.holders[holder].crashed {
            self.holders[holder].crashed = true;
            self.add_holder();
        }
    }

    fn replace_agent(&mut self, agent: usize) {
        if self.agents.len() >= MAX_AGENTS || !self.agents[agent].alive {
            return;
        }
        self.agents[agent].alive = false;
        for (_, _, budget, bound) in std::mem::take(&mut self.agents[agent].running) {
            *self.tokens_run.entry(budget).or_default() += self.rng.u64(..=bound);
        }
        for charge in &mut self.charges {
            charge.void |= charge.agent == agent && !charge.settled;
        }
        for holder in &mut self.holders {
            for attempt in holder.attempts.values_mut() {
                attempt.lost |= attempt.agent == agent;
            }
        }
        let is_to_agent = |message: &Message| matches!(message, Message::Dispatch { agent: to, .. } if *to == agent);
        self.messages.retain(|message| !is_to_agent(message));
        let is_from_agent = |message: &Message| match message {
            Message::Outcome { holder, id, .. } => {
                let attempt = self.holders[*holder].attempts.get(id);
                attempt.is_some_and(|attempt| attempt.agent == agent)
            }
            _ => false,
        };
        self.messages.retain(|message| !is_from_agent(message));
        self.add_agent();
    }

    /// Asks the agents of lost attempts for their outcome; writes attempts off whose agent is gone.
    fn resolve_lost_attempts(&mut self, holder: usize) {
        if !self.is_active(holder) {
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
            } else if self.fault == Fault::LostAttemptReleased
                || self.resolve_attempt(holder, agent, &id)
            {
                self.holders[holder].escrow.release(&budget, bound);
                self.holders[holder].attempts.remove(&id);
            }
        }
    }

    fn resolve_attempt(&mut self, holder: usize, agent: usize, id: &name::Name) -> bool {
        let incarnation = self.holders[holder].member.incarnation;
        let after = self.holders[holder].escrow.covered_through(agent as u64);
        let log = &mut self.agents[agent].log;
        log.forbid_request(id.clone());
        let receipts = log.receipts_after(incarnation, after);
        for receipt in receipts.iter().filter(|receipt| receipt.is_charged()) {
            self.count_receipt(holder, agent, receipt);
        }
        !receipts
            .iter()
            .any(|receipt| !receipt.is_charged() && receipt.request == *id)
    }

    /// Publishes a higher total, or a lower one after writing a cap to the ledger.
    fn publish_total(&mut self) {
        let budget = self.random_budget();
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

    /// Fences a holder that crashed or is merely paused, which other members can't tell apart.
    fn fence_if_suspected(&mut self, holder: usize) {
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

    /// Closes all fenced holders; the pass may be interrupted before any bucket.
    fn close_dead_holders(&mut self) -> CheckResult {
        let Some(closing) = self.gather_promises() else {
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

    /// Gathers the promises of all members; `None` when one does not answer.
    fn gather_promises(&mut self) -> Option<closing::Closing> {
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
        self.promise_by_routers(&mut closing)?;
        if self.fault == Fault::NoAgentPromises {
            return Some(closing);
        }
        self.promise_by_agents(&mut closing)?;
        Some(closing)
    }

    fn promise_by_routers(&mut self, closing: &mut closing::Closing) -> Option<()> {
        for holder in 0..self.holders.len() {
            let incarnation = self.holders[holder].member.incarnation;
            if self.fences.contains(&incarnation) {
                continue;
            }
            if !self.is_active(holder) {
                return None;
            }
            self.holders[holder].promised.extend(closing.dead.keys());
            self.write_record(holder);
            let record = self.records[&incarnation].clone();
            closing.live.insert(incarnation, record);
        }
        Some(())
    }

    fn promise_by_agents(&mut self, closing: &mut closing::Closing) -> Option<()> {
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

    fn close_bucket(&mut self, closing: &closing::Closing, number: u64) -> CheckResult {
        let (revision, before) = self.buckets.get(&number).cloned().unwrap_or_default();
        let mut after = before.clone();
        let Some(settled) = closing.settle(number, &mut after) else {
            return Ok(());
        };
        self.buckets.insert(number, (revision + 1, after));
        let dead: BTreeSet<_> = closing.dead.keys().copied().collect();
        let dead: BTreeSet<_> = dead.difference(&before.done).copied().collect();
        for (budget, settled) in settled {
            self.record_flows(closing, &dead, &budget);
            let lost = dead.iter().any(|holder| closing.lost.contains(holder));
            if lost {
                check(settled.freed == 0, || {
                    format!("{budget}: closing freed tokens although usage was lost")
                })?;
                continue;
            }
            let expected = self.expected_tokens_left(&before, &dead, &budget);
            check(i128::from(settled.freed) == expected, || {
                format!(
                    "{budget}: closing freed {} tokens, expected {expected}",
                    settled.freed
                )
            })?;
        }
        Ok(())
    }

    /// Records the flows between live and dead holders, which must not change any more.
    fn record_flows(
        &mut self,
        closing: &closing::Closing,
        dead: &BTreeSet<u64>,
        budget: &name::Name,
    ) {
        for live in closing.live.keys() {
            for dead in dead {
                let flow = self.flow_between(*live, *dead, budget);
                self.recorded_flows
                    .insert((budget.clone(), *live, *dead), flow);
            }
        }
    }

    fn flow_between(&self, live: u64, dead: u64, budget: &name::Name) -> Flow {
        let holder = &self.holders[live as usize - 1];
        holder.escrow.with_account(budget, |account| {
            let figures = &account.figures;
            let given = figures.given.get(&dead).copied();
            (given, figures.received.get(&dead).copied())
        })
    }

    fn check_recorded_flows(&self) -> CheckResult {
        for ((budget, live, dead), flow) in &self.recorded_flows {
            check(self.flow_between(*live, *dead, budget) == *flow, || {
                format!(
                    "{budget}: holder {live} transferred tokens to or from the closed holder {dead}"
                )
            })?;
        }
        Ok(())
    }

    /// Tokens that dead holders have left, computed from the events of the simulation instead of
    /// the records.
    fn expected_tokens_left(
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
                left -= i128::from(self.charged_tokens(index, budget));
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

    /// Tokens charged to a holder, and those that it wrote off.
    fn charged_tokens(&self, holder: usize, budget: &name::Name) -> u64 {
        let mine = |charge: &&Charge| charge.holder == holder && charge.budget == *budget;
        let charges = self.charges.iter().filter(mine);
        let charged: u64 = charges.filter(|c| !c.void).map(|c| c.tokens).sum();
        let key = (holder, budget.clone());
        charged + self.written_off.get(&key).copied().unwrap_or(0)
    }

    fn check_always(&self) -> CheckResult {
        self.check_recorded_flows()?;
        for budget in BUDGETS.map(name::Name::from) {
            let number = ledger::bucket_of(&budget);
            let entry = self
                .buckets
                .get(&number)
                .and_then(|b| b.1.entries.get(&budget));
            let Some(entry) = entry else { continue };
            let ran = self.tokens_run.get(&budget).copied().unwrap_or(0);
            check(ran <= entry.total, || {
                format!("{budget}: {ran} tokens were used of {}", entry.total)
            })?;
            check(entry.committed() <= i128::from(entry.total), || {
                format!("{budget}: the committed tokens exceed the total")
            })?;
            let published = match entry.version as usize {
                0 => 0,
                version => self.totals[version - 1][&budget],
            };
            check(entry.total == published, || {
                format!(
                    "{budget}: the total is {}, but {published} was published",
                    entry.total
                )
            })?;
            self.check_holders(&budget, entry)?;
        }
        Ok(())
    }

    /// Sum of the bounds of the open attempts whose charge the holder has not counted yet.
    fn uncounted_bounds(&self, holder: &Holder, budget: &name::Name) -> u64 {
        let counted = |id: &name::Name| self.charges.iter().any(|c| c.id == *id && c.settled);
        let open = holder.attempts.iter().filter(|(_, a)| a.budget == *budget);
        let uncounted = open.filter(|(id, _)| !counted(id));
        uncounted.map(|(_, attempt)| attempt.bound).sum()
    }

    fn check_holders(&self, budget: &name::Name, entry: &ledger::Entry) -> CheckResult {
        let mut granted = 0;
        let mut held = 0;
        let mut to_closed = 0;
        let mut in_transit = 0;
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
            let used = i128::from(account.figures.spent + self.uncounted_bounds(holder, budget));
            check(used <= own, || {
                format!("{budget}: holder {incarnation} uses {used} tokens but holds {own}")
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
                    format!("{budget}: the asker received {taken} tokens but was given {tokens}")
                })?;
                in_transit += i128::from(*tokens) - i128::from(taken);
            }
        }
        check(granted == held + in_transit + to_closed, || {
            format!("{budget}: {granted} tokens granted, {held} held, {in_transit} in transit")
        })?;
        let free = i128::from(entry.total) - entry.committed();
        let sum = free + held + in_transit + to_closed + i128::from(entry.closed);
        let late_grants = entry.shares.iter().filter(|(holder, _)| !open(holder));
        let late_grants: u64 = late_grants.map(|(_, share)| share.granted).sum();
        check(
            sum + i128::from(late_grants) == i128::from(entry.total),
            || {
                format!(
                    "{budget}: all tokens sum to {sum}, but the total is {}",
                    entry.total
                )
            },
        )
    }

    /// Delivers all messages, finishes all attempts and closes all dead holders, then checks that
    /// each charge was counted exactly once.
    fn quiesce(&mut self) -> CheckResult {
        for holder in &mut self.holders {
            holder.paused = false;
        }
        while !self.messages.is_empty() {
            self.deliver_random_message();
            self.check_always()?;
        }
        for agent in 0..self.agents.len() {
            while !self.agents[agent].running.is_empty() {
                self.finish_random_attempt(agent);
            }
        }
        while !self.messages.is_empty() {
            self.deliver_random_message();
        }
        for holder in 0..self.holders.len() {
            self.write_record(holder);
            self.resolve_lost_attempts(holder);
            self.write_record(holder);
            self.fence_if_suspected(holder);
        }
        for _ in 0..20 {
            self.close_dead_holders()?;
            self.check_always()?;
        }
        for (index, holder) in self.holders.iter().enumerate() {
            if holder.crashed || holder.stopped {
                let closed = self.is_closed(holder.member.incarnation);
                check(closed, || {
                    format!("the dead holder {} is not closed", holder.member.name)
                })?;
                continue;
            }
            check(holder.attempts.is_empty(), || {
                "an attempt is still open".to_owned()
            })?;
            for budget in BUDGETS.map(name::Name::from) {
                let spent = holder.escrow.with_account(&budget, |a| a.figures.spent);
                let charged = self.charged_tokens(index, &budget);
                check(spent == charged, || {
                    format!("{budget}: {spent} tokens counted, {charged} charged")
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
