//! Counts what one request spends of its budget.

use crate::gateway::budget;

/// Counts what one request spends, as it happens, so that a request that is cancelled counts too.
pub struct Meter {
    reservation: Option<budget::Reservation>,
    input: u64,
    per_event: u64,
    is_sent: bool,
    may_have_run: bool,
    output: u64,
}

impl Meter {
    /// Begins to count a request whose prompt has `input` tokens and whose events hold
    /// `per_event` tokens each; without a reservation nothing is paid for.
    pub fn new(reservation: Option<budget::Reservation>, input: u64, per_event: u64) -> Self {
        Self {
            reservation,
            input,
            per_event,
            is_sent: false,
            may_have_run: false,
            output: 0,
        }
    }

    /// Notes that the request is about to be sent. A request starts to run with its first token;
    /// one that is cancelled before any came costs nothing.
    pub fn sending(&mut self) {
        self.is_sent = true;
    }

    /// Notes how a send ended; the input counts, once, when it may have run.
    pub fn sent(&mut self, may_have_run: bool) {
        self.is_sent = false;
        self.may_have_run |= may_have_run;
        self.count();
    }

    /// Counts events that go to the caller.
    pub fn events(&mut self, events: u64) {
        self.output += events * self.per_event;
        self.count();
    }

    /// Whether an attempt may have run, or may still run.
    pub fn may_have_run(&self) -> bool {
        self.is_sent || self.may_have_run
    }

    fn count(&mut self) {
        let counts = self.may_have_run || self.output > 0;
        let input = if counts { self.input } else { 0 };
        if let Some(reservation) = &mut self.reservation {
            reservation.spend(input + self.output);
        }
    }
}
