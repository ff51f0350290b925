//! The queues in front of plain services, and the guards of the requests in them.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use metrics::{counter, gauge, histogram};

use crate::{
    coordination::limits::service_queue::{End, Entry, Request, ServiceQueue, Ticket},
    state::name,
    transport::timers,
};

/// Minimum time between two log lines about rejections by full servers.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// What a waiting request is told.
#[derive(Debug)]
enum Answer {
    /// It is sent now; a request to this server has just been answered.
    Send(Option<name::Name>),
    /// It can't be served before its deadline; the queue lasts for this time.
    Refuse(Duration),
}

type Queue = ServiceQueue<async_channel::Sender<Answer>>;

/// Queues by service.
pub struct PlainQueues {
    queues: RefCell<HashMap<name::Name, Queue>>,
    timers: timers::Timers,
    logged_at: Cell<Option<Duration>>,
}

/// A request that was sent or is to be sent, until it has ended or its value is dropped.
pub struct Slot {
    queues: Rc<PlainQueues>,
    service: name::Name,
    is_running: Cell<bool>,
    may_wait: Cell<bool>,
    waited: Cell<Duration>,
    freed: RefCell<Option<name::Name>>,
}

/// Removes a waiting request from its queue when it is cancelled.
struct Waiter<'a> {
    slot: &'a Slot,
    ticket: Ticket,
    rx: async_channel::Receiver<Answer>,
    is_done: bool,
}

impl PlainQueues {
    /// Creates the table.
    pub fn new(timers: timers::Timers) -> Rc<Self> {
        Rc::new(Self {
            queues: RefCell::default(),
            timers,
            logged_at: Cell::new(None),
        })
    }

    /// Waits until a request may be sent to a service. `servers` returns a number that stands for its
    /// servers.
    ///
    /// # Errors
    ///
    /// The time for which the queue lasts, when the request can't be served before its deadline.
    pub async fn enter(
        self: &Rc<Self>,
        service: &name::Name,
        req: &Request,
        servers: impl FnOnce() -> u64,
    ) -> Result<Slot, Duration> {
        let slot = Slot {
            queues: self.clone(),
            service: service.clone(),
            is_running: Cell::new(false),
            may_wait: Cell::new(true),
            waited: Cell::new(Duration::ZERO),
            freed: RefCell::default(),
        };
        slot.enter(req, servers).await?;
        Ok(slot)
    }

    /// Number of requests that may run at a service, `None` while that is not limited, of those that run
    /// and of those that wait.
    pub fn counts(&self, service: &str) -> (Option<usize>, usize, usize) {
        let queues = self.queues.borrow();
        let now = self.timers.now();
        queues.get(service).map_or((None, 0, 0), |queue| {
            (queue.max_running(now), queue.running(), queue.waiting())
        })
    }

    /// Updates the gauges of the queues, and forgets queues that are not in use.
    pub fn update_gauges(&self) {
        let now = self.timers.now();
        let set = |service: &name::Name, queue: &Queue| {
            let service = service.to_string();
            let limit = queue.max_running(now).unwrap_or(0) as f64;
            gauge!("fulmar_gateway_plain_limit", "service" => service.clone()).set(limit);
            let waiting = queue.waiting() as f64;
            gauge!("fulmar_gateway_plain_waiting", "service" => service).set(waiting);
        };
        self.queues.borrow_mut().retain(|service, queue| {
            set(service, queue);
            queue.is_in_use(now)
        });
    }

    fn with_queue<R>(&self, service: &name::Name, work: impl FnOnce(&mut Queue) -> R) -> R {
        let mut queues = self.queues.borrow_mut();
        if let Some(queue) = queues.get_mut(service) {
            return work(queue);
        }
        // The number of queues stays that of the services in use, also when services are replaced.
        let now = self.timers.now();
        queues.retain(|_, queue| queue.is_in_use(now));
        work(queues.entry(service.clone()).or_default())
    }

    /// Has waiting requests sent.
    fn start(started: Vec<async_channel::Sender<Answer>>, freed: Option<&name::Name>) {
        for waiter in started {
            // Cannot fail: a waiter that is dropped leaves the queue before.
            let _ = waiter.try_send(Answer::Send(freed.cloned()));
        }
    }

    fn log_rejection(&self, service: &name::Name, server: &str, status: u16) {
        let now = self.timers.now();
        let is_due = self
            .logged_at
            .get()
            .is_none_or(|at| now >= at + LOG_INTERVAL);
        if !is_due {
            return;
        }
        self.logged_at.set(Some(now));
        let (limit, running, waiting) = self.counts(service);
        tracing::info!(
            %service, server, status, limit, running, waiting,
            "limits: a full server rejected a request, fewer are sent at a time"
        );
    }
}

impl Slot {
    /// Has the request wait no more, since it holds tokens that others may need.
    pub fn forbid_waits(&self) {
        self.may_wait.set(false);
    }

    /// Server that has just answered another request, and probably has room for this one.
    pub fn freed_server(&self) -> Option<name::Name> {
        self.freed.borrow().clone()
    }

    /// Time for which the request has waited.
    pub fn waited(&self) -> Duration {
        self.waited.get()
    }

    /// Records that a full server rejected the request.
    pub fn record_rejection(&self, server: &str, status: u16, servers: u64) {
        let now = self.queues.timers.now();
        let started = self.queues.with_queue(&self.service, |queue| {
            let started = queue.set_servers(servers);
            queue.record_rejection(now);
            started
        });
        PlainQueues::start(started, None);
        let service = self.service.to_string();
        counter!("fulmar_gateway_plain_rejections_total", "service" => service).increment(1);
        self.queues.log_rejection(&self.service, server, status);
    }

    /// Records that `server` answered the request, or with `None` that it ended otherwise. Another request
    /// may be sent in its place.
    pub fn end(&self, server: Option<&name::Name>) {
        if !self.is_running.replace(false) {
            return;
        }
        let now = self.queues.timers.now();
        let end = match server {
            Some(_) => End::Served,
            None => End::Other,
        };
        let queues = &self.queues;
        let started = queues.with_queue(&self.service, |queue| queue.end(end, now));
        PlainQueues::start(started, server);
    }

    /// Waits before another attempt, as [`PlainQueues::enter`] does before the first.
    ///
    /// # Errors
    ///
    /// As for [`PlainQueues::enter`].
    pub async fn enter_again(
        &self,
        req: &Request,
        servers: impl FnOnce() -> u64,
    ) -> Result<(), Duration> {
        if !self.may_wait.get() {
            return Ok(());
        }
        self.end(None);
        self.enter(req, servers).await
    }

    async fn enter(&self, req: &Request, servers: impl FnOnce() -> u64) -> Result<(), Duration> {
        let queues = &self.queues;
        let now = queues.timers.now();
        let req = Request {
            waited: self.waited.get(),
            ..*req
        };
        let (tx, rx) = async_channel::bounded(1);
        let (entry, started, refused, drain_time) = queues.with_queue(&self.service, |queue| {
            let started = match queue.max_running(now) {
                Some(_) => queue.set_servers(servers()),
                None => Vec::new(),
            };
            let (entry, refused) = queue.enter(&req, tx, now);
            (entry, started, refused, queue.drain_time())
        });
        PlainQueues::start(started, None);
        for waiter in refused {
            // Cannot fail, as in [`PlainQueues::start`].
            let _ = waiter.try_send(Answer::Refuse(drain_time));
        }
        let answer = match entry {
            Entry::Send => Answer::Send(None),
            Entry::Refuse(drain_time) => Answer::Refuse(drain_time),
            Entry::Wait(ticket, wait) => {
                let waiter = Waiter {
                    slot: self,
                    ticket,
                    rx,
                    is_done: false,
                };
                let answer = waiter.wait(wait).await;
                let waited = queues.timers.now().saturating_sub(now);
                self.waited.set(self.waited.get() + waited);
                histogram!("fulmar_gateway_plain_wait_seconds").record(waited.as_secs_f64());
                answer
            }
        };
        match answer {
            Answer::Send(freed) => {
                self.is_running.set(true);
                *self.freed.borrow_mut() = freed;
                Ok(())
            }
            Answer::Refuse(drain_time) => {
                count_wait("refused");
                Err(drain_time)
            }
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.end(None);
    }
}

impl Waiter<'_> {
    /// Waits for an answer, and has the request sent after the time has passed.
    async fn wait(mut self, limit: Duration) -> Answer {
        let queues = &self.slot.queues;
        let answered = queues.timers.within(limit, self.rx.recv()).await;
        self.is_done = true;
        if let Some(Ok(answer)) = answered {
            if let Answer::Send(_) = answer {
                count_wait("slot_freed");
            }
            return answer;
        }
        let service = &self.slot.service;
        if queues.with_queue(service, |queue| queue.send_anyway(self.ticket)) {
            count_wait("time_passed");
            return Answer::Send(None);
        }
        // The answer came at the same time as the end of the wait.
        self.rx.try_recv().unwrap_or(Answer::Send(None))
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        if self.is_done {
            return;
        }
        count_wait("cancelled");
        let (slot, ticket) = (self.slot, self.ticket);
        let was_waiting = slot
            .queues
            .with_queue(&slot.service, |queue| queue.cancel(ticket));
        if !was_waiting && let Ok(Answer::Send(_)) = self.rx.try_recv() {
            slot.is_running.set(true);
            slot.end(None);
        }
    }
}

fn count_wait(outcome: &'static str) {
    counter!("fulmar_gateway_plain_waits_total", "outcome" => outcome).increment(1);
}
