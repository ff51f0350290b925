//! A bounded queue that is fair between workspaces and serves urgent requests first.

use std::{collections::BTreeMap, time::Duration};

use crate::state::name;

/// Requests that one workspace may have waiting at one priority.
pub const MAX_WAITING_PER_WORKSPACE: usize = 256;

/// Weight of the newest service time in the running mean.
const MEAN_WEIGHT: f64 = 0.1;

/// A request that wants to run.
#[derive(Clone, Debug)]
pub struct QueueRequest {
    /// Workspace that asks.
    pub workspace: name::Name,
    /// Share of the workspace, relative to others.
    pub weight: u32,
    /// Smaller runs first.
    pub priority: u8,
    /// Time left to its deadline.
    pub time_left: Duration,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// It may run now.
    Run,
    /// It waits until its ticket is called.
    Wait(u64),
    /// Its deadline cannot be met; coming back helps after this time.
    Refuse(Duration),
}

#[derive(Debug, Default)]
struct Lane {
    /// Virtual time at which the next request of the lane is due.
    due: f64,
    tickets: std::collections::VecDeque<u64>,
}

/// Lanes of one priority, by workspace.
#[derive(Debug, Default)]
struct Level {
    lanes: BTreeMap<name::Name, (f64, Lane)>,
    /// Virtual time of the lane that was served last_ticket.
    clock: f64,
}

impl Level {
    fn push(&mut self, wanted: &QueueRequest, ticket: u64) {
        let step = step_of(wanted.weight);
        let clock = self.clock;
        let (kept, lane) = self.lanes.entry(wanted.workspace.clone()).or_default();
        *kept = step;
        if lane.tickets.is_empty() {
            lane.due = lane.due.max(clock) + step;
        }
        lane.tickets.push_back(ticket);
    }

    fn pop(&mut self) -> Option<u64> {
        let waiting = self
            .lanes
            .iter()
            .filter(|(_, (_, l))| !l.tickets.is_empty());
        let next = waiting.min_by(|(_, (_, a)), (_, (_, b))| a.due.total_cmp(&b.due));
        let name = next.map(|(name, _)| name.clone())?;
        let (step, lane) = self.lanes.get_mut(&name)?;
        self.clock = lane.due;
        lane.due += *step;
        lane.tickets.pop_front()
    }

    /// Requests that run before one that joins its workspace's lane now.
    fn before(&self, wanted: &QueueRequest) -> usize {
        let step = step_of(wanted.weight);
        let own = self.lanes.get(&wanted.workspace);
        let own = own.map_or(0, |(_, lane)| lane.tickets.len());
        let turns = (own + 1) as f64 * step;
        let others = self
            .lanes
            .iter()
            .filter(|(name, _)| **name != wanted.workspace);
        let others = others.map(|(_, (step, lane))| {
            let share = (turns / step).ceil() as usize;
            lane.tickets.len().min(share)
        });
        own + others.sum::<usize>()
    }

    fn waiting(&self) -> usize {
        self.lanes
            .values()
            .map(|(_, lane)| lane.tickets.len())
            .sum()
    }

    fn remove(&mut self, ticket: u64) -> bool {
        for (_, lane) in self.lanes.values_mut() {
            let before = lane.tickets.len();
            lane.tickets.retain(|waiting| *waiting != ticket);
            if lane.tickets.len() < before {
                return true;
            }
        }
        false
    }
}

/// Virtual time between two requests of a workspace.
fn step_of(weight: u32) -> f64 {
    1.0 / f64::from(weight.max(1))
}

/// Requests that run and that wait for the backend servers of one pool.
#[derive(Debug, Default)]
pub struct FairQueue {
    capacity: usize,
    running: usize,
    last_ticket: u64,
    levels: BTreeMap<u8, Level>,
    mean: f64,
}

impl FairQueue {
    /// Sets how many requests may run; returns the tickets that run from now on.
    pub fn set_capacity(&mut self, capacity: usize) -> Vec<u64> {
        self.capacity = capacity;
        self.start_waiting()
    }

    /// Takes a request.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::fair_queue;
    /// let mut queue = fair_queue::FairQueue::default();
    /// queue.set_capacity(1);
    /// let wanted = fair_queue::QueueRequest {
    ///     workspace: "desk".into(), weight: 1, priority: 0, time_left: Duration::from_secs(1),
    /// };
    /// assert_eq!(queue.enter(&wanted), fair_queue::Admission::Run);
    /// assert_eq!(queue.enter(&wanted), fair_queue::Admission::Wait(1));
    /// assert_eq!(queue.finish(Duration::ZERO), [1]);
    /// ```
    pub fn enter(&mut self, wanted: &QueueRequest) -> Admission {
        if self.running < self.capacity && self.ahead(wanted.priority) == 0 {
            self.running += 1;
            return Admission::Run;
        }
        let wait = self.expected_wait(wanted);
        let lane = self.levels.get(&wanted.priority);
        let lane = lane.and_then(|level| level.lanes.get(&wanted.workspace));
        let full = lane.is_some_and(|(_, lane)| lane.tickets.len() >= MAX_WAITING_PER_WORKSPACE);
        if full || wait > wanted.time_left {
            return Admission::Refuse(wait);
        }
        self.last_ticket += 1;
        let level = self.levels.entry(wanted.priority).or_default();
        level.push(wanted, self.last_ticket);
        Admission::Wait(self.last_ticket)
    }

    /// Ends a request that ran for `took`; returns the tickets that run from now on.
    pub fn finish(&mut self, took: Duration) -> Vec<u64> {
        self.running = self.running.saturating_sub(1);
        let took = took.as_secs_f64();
        self.mean = match self.mean > 0.0 {
            true => self.mean + MEAN_WEIGHT * (took - self.mean),
            false => took,
        };
        self.start_waiting()
    }

    /// Takes a ticket out of the queue; false when it was called already.
    pub fn cancel(&mut self, ticket: u64) -> bool {
        self.levels.values_mut().any(|level| level.remove(ticket))
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.levels.values().map(Level::waiting).sum()
    }

    /// Expected wait of a request that arrives now: for all that runs before it, but not for what
    /// other workspaces queue beyond their share.
    pub fn expected_wait(&self, wanted: &QueueRequest) -> Duration {
        let higher = self.levels.range(..wanted.priority);
        let higher: usize = higher.map(|(_, level)| level.waiting()).sum();
        let level = self.levels.get(&wanted.priority);
        let same = level.map_or(0, |level| level.before(wanted));
        let rounds = (higher + same + 1) as f64 / self.capacity.max(1) as f64;
        Duration::try_from_secs_f64(rounds * self.mean).unwrap_or(Duration::MAX)
    }

    fn ahead(&self, priority: u8) -> usize {
        let levels = self.levels.range(..=priority);
        levels.map(|(_, level)| level.waiting()).sum()
    }

    fn start_waiting(&mut self) -> Vec<u64> {
        let mut called = Vec::new();
        while self.running < self.capacity {
            let Some(ticket) = self.levels.values_mut().find_map(Level::pop) else {
                break;
            };
            self.running += 1;
            called.push(ticket);
        }
        called
    }
}
