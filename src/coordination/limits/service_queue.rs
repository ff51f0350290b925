//! Queue of a gateway's requests to a plain service, in front of its limit on concurrent requests.
//!
//! A wait of a few milliseconds costs a caller less than a rejection by a full server, which uses up the
//! retries of the fleet. The queue never holds a request for long: after a fraction of its target latency
//! it is sent whatever the limit is, since the limit is only an estimate.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crate::{
    coordination::{limits::concurrency::ConcurrencyLimit, suspects},
    state::server,
};

/// Longest wait of a request, as a fraction of its target latency, and of the time until its deadline if that
/// is shorter. The rest remains for the request itself and for retries.
const MAX_WAIT: f64 = 0.5;

/// A request that is to be sent.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Whether it may run more than once.
    pub may_run_twice: bool,
    /// Target for the time to its first byte.
    pub target: Duration,
    /// Attempts that are left after others have failed, this one among them; `None` for the first attempt.
    pub repeats_left: Option<u32>,
    /// Time for which it has waited in the queue already, before earlier attempts.
    pub waited: Duration,
    /// Time at which it must be answered.
    pub deadline: Duration,
}

/// Place in the queue; smaller ones are served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    may_run_twice: bool,
    deadline: Duration,
    number: u64,
}

/// What happens to a request that has entered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    /// It is sent now.
    Send,
    /// It waits, at most for the given time. Then it leaves by [`ServiceQueue::send_anyway`].
    Wait(Ticket, Duration),
    /// It can't be served before its deadline. The queue lasts for the given time.
    Refuse(Duration),
}

/// A request's end at a server, as far as the limit depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A server answered it.
    Served,
    /// It was rejected, failed or given up.
    Other,
}

/// Running and waiting requests of one service. `T` stands for a waiting request.
#[derive(Debug)]
pub struct ServiceQueue<T> {
    limit: ConcurrencyLimit,
    running: usize,
    waiting: BTreeMap<Ticket, T>,
    last_number: u64,
    /// Hash of the servers for which the limit was found.
    servers: u64,
}

impl<T> Default for ServiceQueue<T> {
    fn default() -> Self {
        Self {
            limit: ConcurrencyLimit::default(),
            running: 0,
            waiting: BTreeMap::new(),
            last_number: 0,
            servers: 0,
        }
    }
}

impl<T> ServiceQueue<T> {
    /// Discards the limit if the servers of the service, given by a hash, have changed. Returns the waiting
    /// requests, which are sent now.
    #[must_use]
    pub fn set_servers(&mut self, servers: u64) -> Vec<T> {
        if self.servers == servers {
            return Vec::new();
        }
        self.servers = servers;
        self.limit = ConcurrencyLimit::default();
        self.running += self.waiting.len();
        std::mem::take(&mut self.waiting).into_values().collect()
    }

    /// Enters a request. Returns what happens to it, and waiting requests that can't be served before their
    /// deadlines any more, because it comes before them.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::limits::service_queue::{End, Entry, Request, ServiceQueue};
    /// let mut queue = ServiceQueue::default();
    /// let (target, now) = (Duration::from_millis(120), Duration::ZERO);
    /// let deadline = Duration::from_secs(1);
    /// let req = Request { may_run_twice: true, repeats_left: None, target, waited: now, deadline };
    /// assert_eq!(queue.enter(&req, "a", now).0, Entry::Send);
    /// queue.record_rejection(now);
    /// let (Entry::Wait(_, wait), _) = queue.enter(&req, "b", now) else { panic!() };
    /// assert_eq!(wait, target / 2);
    /// assert_eq!(queue.end(End::Other, now), ["b"]);
    /// ```
    pub fn enter(&mut self, req: &Request, waiter: T, now: Duration) -> (Entry, Vec<T>) {
        let left = req.deadline.saturating_sub(now);
        let wait = req.target.mul_f64(MAX_WAIT).saturating_sub(req.waited);
        let wait = wait.min(left.mul_f64(MAX_WAIT));
        // The servers are probably still full, and repeats at once would use up the attempts within a few
        // milliseconds. So a repeat waits for a request to end, whose slot it can take, and for its part of the
        // remaining wait at most.
        let repeats_left = req.repeats_left.filter(|_| self.max_running(now).is_some());
        let wait = wait / repeats_left.unwrap_or(1).max(1);
        if repeats_left.is_none() && !self.is_reached(now) || wait.is_zero() {
            self.running += 1;
            return (Entry::Send, Vec::new());
        }
        self.last_number += 1;
        let ticket = Ticket {
            may_run_twice: req.may_run_twice,
            deadline: req.deadline,
            number: self.last_number,
        };
        self.waiting.insert(ticket, waiter);
        let mut refused = Vec::new();
        for late in self.unservable(now) {
            let waiter = self.waiting.remove(&late);
            if late == ticket {
                return (Entry::Refuse(self.drain_time()), refused);
            }
            refused.extend(waiter);
        }
        (Entry::Wait(ticket, wait), refused)
    }

    /// Waiting requests that can't be served before their deadlines.
    fn unservable(&self, now: Duration) -> Vec<Ticket> {
        if !self.limit.is_minimum(now) {
            return Vec::new();
        }
        let mut served = 0;
        let tickets = self.waiting.keys().copied();
        let unservable = tickets.filter(|ticket| {
            let time = self.limit.time_for(served + 1);
            let is_late = time.is_some_and(|time| now + time > ticket.deadline);
            served += usize::from(!is_late);
            is_late
        });
        unservable.collect()
    }

    /// Time for which the queue lasts, at the measured rate.
    pub fn drain_time(&self) -> Duration {
        let time = self.limit.time_for(self.waiting.len() + 1);
        time.unwrap_or_default()
    }

    /// Has a request that has waited for its longest time sent. Returns false if it was not waiting.
    pub fn send_anyway(&mut self, ticket: Ticket) -> bool {
        let was_waiting = self.cancel(ticket);
        self.running += usize::from(was_waiting);
        was_waiting
    }

    /// Removes a request from the queue; returns false if it was not waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.waiting.remove(&ticket).is_some()
    }

    /// Records that a full server rejected a request, which has not ended yet.
    pub fn record_rejection(&mut self, now: Duration) {
        self.limit.record_rejection(self.running, now);
    }

    /// Ends a request that was sent; returns the requests that are sent now.
    #[must_use]
    pub fn end(&mut self, end: End, now: Duration) -> Vec<T> {
        let running = self.running;
        self.running = running.saturating_sub(1);
        if end == End::Served {
            self.limit.record_served(running);
        }
        let mut started = Vec::new();
        while !self.is_reached(now)
            && let Some((_, waiter)) = self.waiting.pop_first()
        {
            self.running += 1;
            started.push(waiter);
        }
        if end == End::Served {
            self.limit.record_end(self.is_reached(now), now);
        }
        started
    }

    /// Whether as many requests run as the limit allows.
    fn is_reached(&self, now: Duration) -> bool {
        let max = self.limit.max_running(now);
        max.is_some_and(|max| self.running >= max)
    }

    /// Number of requests that may run; `None` while the limit is not in effect.
    pub fn max_running(&self, now: Duration) -> Option<usize> {
        self.limit.max_running(now)
    }

    /// Whether requests run or wait, or the limit is in effect.
    pub fn is_in_use(&self, now: Duration) -> bool {
        self.running + self.waiting.len() > 0 || self.max_running(now).is_some()
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}

/// Whether a response with this status, which states that the request did not run, means that its server is full.
/// Another process at the server's address answers with another status, and a server that is leaving has room.
///
/// ```
/// use fulmarproxy::coordination::limits::service_queue;
/// assert!(service_queue::is_full(503, true) && service_queue::is_full(429, true));
/// assert!(!service_queue::is_full(421, true) && !service_queue::is_full(503, false));
/// ```
pub fn is_full(status: u16, takes_work: bool) -> bool {
    takes_work && matches!(status, 429 | 503)
}

/// Number that stands for a set of servers, in whatever order.
///
/// ```
/// use fulmarproxy::coordination::limits::service_queue;
/// assert_eq!(service_queue::servers_number(&[]), 0);
/// ```
pub fn servers_number(servers: &[Arc<server::Server>]) -> u64 {
    let numbers = servers.iter().map(|it| suspects::server_number(it));
    numbers.fold(0, u64::wrapping_add)
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: fn(u64) -> Duration = Duration::from_millis;

    fn req(may_run_twice: bool, deadline: u64) -> Request {
        Request {
            may_run_twice,
            repeats_left: None,
            target: MS(120),
            waited: Duration::ZERO,
            deadline: MS(deadline),
        }
    }

    /// A queue at the smallest limit, with one running request, where a request ends each 15 ms.
    fn full_queue() -> ServiceQueue<&'static str> {
        let mut queue = ServiceQueue::default();
        assert_eq!(queue.enter(&req(true, 9000), "first", MS(0)).0, Entry::Send);
        queue.record_rejection(MS(0));
        for number in 1..4 {
            let (entry, _) = queue.enter(&req(true, 9000), "next", MS(15 * number));
            assert!(matches!(entry, Entry::Wait(..)));
            assert_eq!(queue.end(End::Served, MS(15 * number)), ["next"]);
        }
        queue
    }

    /// Guards against an order in which requests that must not run twice are served less often.
    #[test]
    fn requests_that_must_not_run_twice_come_first_then_those_with_early_deadlines() {
        let mut queue = full_queue();
        for (req, name) in [
            (req(true, 900), "late"),
            (req(true, 800), "early"),
            (req(false, 950), "once"),
        ] {
            assert!(matches!(queue.enter(&req, name, MS(45)).0, Entry::Wait(..)));
        }
        let served: Vec<_> = (0..3).flat_map(|_| queue.end(End::Other, MS(60))).collect();
        assert_eq!(served, ["once", "early", "late"]);
    }

    /// Guards against refusing requests that must not run twice while others could go.
    #[test]
    fn requests_that_may_run_twice_are_refused_first() {
        let mut queue = full_queue();
        for _ in 0..2 {
            queue.enter(&req(true, 80), "twice", MS(45));
        }
        let (entry, refused) = queue.enter(&req(false, 80), "once", MS(45));
        assert!(matches!(entry, Entry::Wait(..)));
        assert_eq!(refused, ["twice"]);
        let (entry, refused) = queue.enter(&req(true, 80), "twice", MS(45));
        assert_eq!(entry, Entry::Refuse(MS(45)));
        assert!(refused.is_empty());
    }

    /// Guards against refusals by an estimate alone, before the limit is at its minimum.
    #[test]
    fn nothing_is_refused_above_the_smallest_limit() {
        let mut queue = ServiceQueue::default();
        for _ in 0..10 {
            queue.enter(&req(true, 9000), "running", MS(0));
        }
        queue.record_rejection(MS(0));
        for _ in 0..100 {
            let (entry, refused) = queue.enter(&req(true, 1), "next", MS(0));
            assert!(!matches!(entry, Entry::Refuse(_)) && refused.is_empty());
        }
    }

    /// Guards against a limit that outlives the servers for which it was found, with requests that wait.
    #[test]
    fn changed_servers_end_the_limit() {
        let mut queue = full_queue();
        queue.enter(&req(true, 900), "waits", MS(45));
        assert_eq!(queue.set_servers(7), ["waits"]);
        assert_eq!(queue.max_running(MS(45)), None);
        assert_eq!(queue.enter(&req(true, 900), "new", MS(45)).0, Entry::Send);
        assert!(queue.set_servers(7).is_empty());
    }

    /// Guards against counts that drift when a request is sent after its longest wait or given up.
    #[test]
    fn requests_that_leave_the_queue_by_themselves_are_counted() {
        let mut queue = full_queue();
        let wait = |queue: &mut ServiceQueue<_>| match queue.enter(&req(true, 900), "w", MS(45)) {
            (Entry::Wait(ticket, _), _) => ticket,
            other => panic!("{other:?}"),
        };
        let (sent, cancelled) = (wait(&mut queue), wait(&mut queue));
        assert!(queue.send_anyway(sent) && queue.cancel(cancelled));
        assert!(!queue.send_anyway(sent) && !queue.cancel(cancelled));
        assert_eq!((queue.running(), queue.waiting()), (2, 0));
        let again = Request {
            waited: MS(60),
            ..req(true, 900)
        };
        assert_eq!(queue.enter(&again, "w", MS(60)).0, Entry::Send);
    }

    /// Guards against repeats that use up their attempts while the servers are still full, and against new requests
    /// that wait for them although the limit is not reached.
    #[test]
    fn repeats_spread_over_the_wait_and_hold_up_no_one() {
        let mut queue = full_queue();
        let _ = queue.end(End::Other, MS(50));
        for (sends_left, waited, wait) in [(2, 0, 30), (1, 30, 30)] {
            let repeat = Request {
                repeats_left: Some(sends_left),
                waited: MS(waited),
                ..req(false, 900)
            };
            let (Entry::Wait(ticket, longest), _) = queue.enter(&repeat, "repeat", MS(50)) else {
                panic!("it was sent");
            };
            assert_eq!(longest, MS(wait));
            assert_eq!(queue.enter(&req(true, 900), "new", MS(50)).0, Entry::Send);
            assert!(queue.cancel(ticket));
            assert!(queue.end(End::Other, MS(50)).is_empty());
        }
    }
}
