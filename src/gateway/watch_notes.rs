//! State of the watched prefixes of the store at a gateway, and its reports of it to the other
//! gateways of its group.

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    coordination::configuration::confirmation::{End, Prefix, Report, Step},
    transport::timers,
};

/// Maximum number of calls of other gateways that are kept open. A group has fifteen followers; there
/// are more while gateways have different lists of each other.
const MAX_OPEN_CALLS: usize = 64;

/// Delay of a reply after the end of a watch, so that one reply covers both watches, which end
/// together.
const REPLY_DELAY: Duration = Duration::from_millis(30);

/// A watched prefix of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// The configuration.
    Configuration,
    /// The list of backend servers.
    Servers,
}

impl Part {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Servers => "servers",
        }
    }
}

/// Reply to `Call::Confirm`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Reply {
    /// Number of the leader's state, to be named in the next call.
    pub sequence: u64,
    /// Time for which the call was kept open, in milliseconds, rounded down.
    pub held_ms: u64,
    /// State of the configuration at the leader.
    pub config: Option<Report>,
    /// State of the list of backend servers at the leader.
    pub servers: Option<Report>,
}

/// State of the watched prefixes at a gateway.
pub struct WatchNotes {
    /// Of the configuration.
    pub config: RefCell<Prefix>,
    /// Of the list of backend servers.
    pub servers: RefCell<Prefix>,
    /// Whether this gateway confirms its knowledge by short watches of its own.
    leads: Cell<bool>,
    /// Number of the state; changes when knowledge was confirmed.
    sequence: Cell<u64>,
    open_calls: Cell<usize>,
    is_closed: Cell<bool>,
    changed: event_listener::Event,
}

impl WatchNotes {
    /// Creates notes whose states have other numbers than those of other incarnations.
    pub fn new(incarnation: u64) -> Self {
        Self {
            config: RefCell::default(),
            servers: RefCell::default(),
            leads: Cell::new(true),
            sequence: Cell::new(incarnation),
            open_calls: Cell::new(0),
            is_closed: Cell::new(false),
            changed: event_listener::Event::new(),
        }
    }

    /// Notes of a prefix.
    pub fn prefix(&self, part: Part) -> &RefCell<Prefix> {
        match part {
            Part::Configuration => &self.config,
            Part::Servers => &self.servers,
        }
    }

    /// Whether this gateway confirms its knowledge by short watches of its own.
    pub fn leads(&self) -> bool {
        self.leads.get()
    }

    /// Sets whether it does; returns whether that is a change.
    pub fn set_leads(&self, leads: bool) -> bool {
        let is_change = self.leads.replace(leads) != leads;
        if is_change {
            self.changed.notify(usize::MAX);
        }
        is_change
    }

    /// Notes that knowledge was confirmed, which answers open calls.
    pub fn record_change(&self) {
        self.sequence.set(self.sequence.get().wrapping_add(1));
        self.changed.notify(usize::MAX);
    }

    /// Notes that a report was received that confirmed nothing, and may end watches.
    pub fn record_report(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Closes the open calls without a reply and takes no more, at shutdown.
    pub fn close_calls(&self) {
        self.is_closed.set(true);
        self.changed.notify(usize::MAX);
    }

    /// Begins a watch of a prefix; returns how long it waits for changes.
    pub fn begin_watch(&self, part: Part, short: Duration, now: Duration) -> Duration {
        let other = match part {
            Part::Configuration => self.servers.borrow(),
            Part::Servers => self.config.borrow(),
        };
        let mut prefix = self.prefix(part).borrow_mut();
        prefix.begin_watch(&other, self.leads(), short, now)
    }

    /// Records that the response to the watch of a prefix began to arrive; returns whether it is worth reading.
    pub fn begin_response(&self, part: Part, announced: Option<u64>, now: Duration) -> bool {
        self.changed.notify(usize::MAX);
        let mut prefix = self.prefix(part).borrow_mut();
        prefix.begin_response(announced, now)
    }

    /// Waits until the watch of a prefix must be ended; returns why. `response_time` is that of the
    /// store.
    pub async fn watch_end(
        &self,
        part: Part,
        short: Duration,
        response_time: impl Fn() -> Duration,
        timers: &timers::Timers,
    ) -> End {
        loop {
            let changed = self.changed.listen();
            let now = timers.now();
            let (leads, response_time) = (self.leads(), response_time());
            let prefix = self.prefix(part);
            let step = prefix.borrow().step(leads, short, response_time, now);
            match step {
                Step::End(end) => return end,
                Step::WaitUntil(at) => {
                    timers.within(at - now, changed).await;
                }
                Step::Wait => changed.await,
            }
        }
    }

    /// Replies to a call of another gateway that has received the state `seen` as soon as there is
    /// another one, at the latest after `short`. `None` closes the connection.
    pub async fn reply(
        &self,
        seen: u64,
        short: Duration,
        timers: &timers::Timers,
    ) -> Option<Reply> {
        if self.open_calls.get() >= MAX_OPEN_CALLS {
            tracing::warn!(
                open = MAX_OPEN_CALLS,
                "watches: too many open calls, closed one"
            );
            metrics::counter!("fulmar_gateway_confirm_replies_total", "outcome" => "refused")
                .increment(1);
            return None;
        }
        let _open = OpenCall::new(&self.open_calls);
        let received = timers.now();
        let until = received + short;
        loop {
            let changed = self.changed.listen();
            if self.is_closed.get() {
                metrics::counter!("fulmar_gateway_confirm_replies_total", "outcome" => "closed")
                    .increment(1);
                return None;
            }
            let now = timers.now();
            if self.sequence.get() != seen || now >= until {
                break;
            }
            timers.within(until - now, changed).await;
        }
        if seen != 0 {
            timers.sleep(REPLY_DELAY).await;
        }
        metrics::counter!("fulmar_gateway_confirm_replies_total", "outcome" => "sent").increment(1);
        let now = timers.now();
        Some(Reply {
            sequence: self.sequence.get(),
            held_ms: (now - received).as_millis() as u64,
            config: self.config.borrow().report(now),
            servers: self.servers.borrow().report(now),
        })
    }
}

/// Counts a call as open for as long as it lives.
struct OpenCall<'a>(&'a Cell<usize>);

impl<'a> OpenCall<'a> {
    fn new(open: &'a Cell<usize>) -> Self {
        open.set(open.get() + 1);
        Self(open)
    }
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
