//! A bounded queue with strict priorities and weighted fair queuing between workspaces.
//!
//! Requests of a smaller priority number run first. Within a priority, each workspace has a queue
//! of its own, and virtual time decides which of these queues is served next: a workspace advances
//! by the inverse of its weight with each request, and the one that is furthest behind is served.

use std::{collections::BTreeMap, time::Duration};

use crate::state::name;

/// Maximum number of requests that one workspace may have waiting at one priority.
pub const MAX_WAITING_PER_WORKSPACE: usize = 256;

/// Weight of the newest service time in the exponentially weighted mean.
const SERVICE_TIME_SMOOTHING_FACTOR: f64 = 0.1;

/// A request that asks for admission.
#[derive(Clone, Debug)]
pub struct QueueRequest {
    /// Workspace of the caller.
    pub workspace: name::Name,
    /// Share of the workspace relative to other workspaces.
    pub weight: u32,
    /// Smaller runs first.
    pub priority: u8,
    /// Time left until the deadline of the request.
    pub time_left: Duration,
}

/// Result of admitting a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// The request may run now.
    Run,
    /// The request waits until its ticket is returned as one that runs.
    Wait(u64),
    /// The request is refused because its queue is full or its deadline cannot be met; the caller
    /// may retry after this time.
    Refuse(Duration),
}

#[derive(Debug, Default)]
struct WorkspaceQueue {
    /// Virtual time at which the next request of this queue is due.
    due: f64,
    tickets: std::collections::VecDeque<u64>,
}

/// The queues of one priority.
#[derive(Debug, Default)]
struct PriorityLevel {
    /// Virtual time between two requests of a workspace, and its queue.
    queues: BTreeMap<name::Name, (f64, WorkspaceQueue)>,
    /// Virtual time at which the queue that was served last was due.
    virtual_time: f64,
}

impl PriorityLevel {
    fn push(&mut self, request: &QueueRequest, ticket: u64) {
        let step = virtual_step(request.weight);
        let virtual_time = self.virtual_time;
        let (queue_step, queue) = self.queues.entry(request.workspace.clone()).or_default();
        *queue_step = step;
        if queue.tickets.is_empty() {
            queue.due = queue.due.max(virtual_time) + step;
        }
        queue.tickets.push_back(ticket);
    }

    fn pop(&mut self) -> Option<u64> {
        let waiting = self
            .queues
            .iter()
            .filter(|(_, (_, l))| !l.tickets.is_empty());
        let next = waiting.min_by(|(_, (_, a)), (_, (_, b))| a.due.total_cmp(&b.due));
        let name = next.map(|(name, _)| name.clone())?;
        let (step, queue) = self.queues.get_mut(&name)?;
        self.virtual_time = queue.due;
        queue.due += *step;
        queue.tickets.pop_front()
    }

    /// Number of requests that run before one that joins the queue of its workspace now.
    fn requests_ahead(&self, request: &QueueRequest) -> usize {
        let step = virtual_step(request.weight);
        let own = self.queues.get(&request.workspace);
        let own = own.map_or(0, |(_, queue)| queue.tickets.len());
        let turns = (own + 1) as f64 * step;
        let others = self
            .queues
            .iter()
            .filter(|(name, _)| **name != request.workspace);
        let others = others.map(|(_, (step, queue))| {
            let share = (turns / step).ceil() as usize;
            queue.tickets.len().min(share)
        });
        own + others.sum::<usize>()
    }

    fn waiting(&self) -> usize {
        self.queues
            .values()
            .map(|(_, queue)| queue.tickets.len())
            .sum()
    }

    fn remove(&mut self, ticket: u64) -> bool {
        for (_, queue) in self.queues.values_mut() {
            let before = queue.tickets.len();
            queue.tickets.retain(|waiting| *waiting != ticket);
            if queue.tickets.len() < before {
                return true;
            }
        }
        false
    }
}

/// Virtual time between two requests of a workspace with this weight.
fn virtual_step(weight: u32) -> f64 {
    1.0 / f64::from(weight.max(1))
}

/// Running and waiting requests for the backend servers of one pool.
#[derive(Debug, Default)]
pub struct FairQueue {
    capacity: usize,
    running: usize,
    last_ticket: u64,
    levels: BTreeMap<u8, PriorityLevel>,
    mean_service_seconds: f64,
}

impl FairQueue {
    /// Sets how many requests may run; returns the tickets that run from now on.
    pub fn set_capacity(&mut self, capacity: usize) -> Vec<u64> {
        self.capacity = capacity;
        self.start_waiting()
    }

    /// Admits a request, queues it or refuses it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::fair_queue;
    /// let mut queue = fair_queue::FairQueue::default();
    /// queue.set_capacity(1);
    /// let request = fair_queue::QueueRequest {
    ///     workspace: "desk".into(), weight: 1, priority: 0, time_left: Duration::from_secs(1),
    /// };
    /// assert_eq!(queue.enter(&request), fair_queue::Admission::Run);
    /// assert_eq!(queue.enter(&request), fair_queue::Admission::Wait(1));
    /// assert_eq!(queue.finish(Duration::ZERO), [1]);
    /// ```
    pub fn enter(&mut self, request: &QueueRequest) -> Admission {
        if self.running < self.capacity && self.waiting_up_to(request.priority) == 0 {
            self.running += 1;
            return Admission::Run;
        }
        let wait = self.expected_wait(request);
        let queue = self.levels.get(&request.priority);
        let queue = queue.and_then(|level| level.queues.get(&request.workspace));
        let full = queue.is_some_and(|(_, queue)| queue.tickets.len() >= MAX_WAITING_PER_WORKSPACE);
        if full || wait > request.time_left {
            return Admission::Refuse(wait);
        }
        self.last_ticket += 1;
        let level = self.levels.entry(request.priority).or_default();
        level.push(request, self.last_ticket);
        Admission::Wait(self.last_ticket)
    }

    /// Ends a request that ran for `took`; returns the tickets that run from now on.
    pub fn finish(&mut self, took: Duration) -> Vec<u64> {
        self.running = self.running.saturating_sub(1);
        let took = took.as_secs_f64();
        self.mean_service_seconds = match self.mean_service_seconds > 0.0 {
            true => {
                self.mean_service_seconds
                    + SERVICE_TIME_SMOOTHING_FACTOR * (took - self.mean_service_seconds)
            }
            false => took,
        };
        self.start_waiting()
    }

    /// Removes a ticket from the queue; returns false when its request is running already.
    pub fn cancel(&mut self, ticket: u64) -> bool {
        self.levels.values_mut().any(|level| level.remove(ticket))
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.levels.values().map(PriorityLevel::waiting).sum()
    }

    /// Expected wait of a request that arrives now.
    ///
    /// Counts all requests that run before it: those of higher priorities, its workspace's own, and
    /// those of other workspaces as far as their weights let them run first. Requests that another
    /// workspace has queued beyond its share don't count.
    pub fn expected_wait(&self, request: &QueueRequest) -> Duration {
        let higher = self.levels.range(..request.priority);
        let higher: usize = higher.map(|(_, level)| level.waiting()).sum();
        let level = self.levels.get(&request.priority);
        let same = level.map_or(0, |level| level.requests_ahead(request));
        let rounds = (higher + same + 1) as f64 / self.capacity.max(1) as f64;
        Duration::try_from_secs_f64(rounds * self.mean_service_seconds).unwrap_or(Duration::MAX)
    }

    /// Number of waiting requests of this priority and of more urgent ones.
    fn waiting_up_to(&self, priority: u8) -> usize {
        let levels = self.levels.range(..=priority);
        levels.map(|(_, level)| level.waiting()).sum()
    }

    fn start_waiting(&mut self) -> Vec<u64> {
        let mut started = Vec::new();
        while self.running < self.capacity {
            let Some(ticket) = self.levels.values_mut().find_map(PriorityLevel::pop) else {
                break;
            };
            self.running += 1;
            started.push(ticket);
        }
        started
    }
}
