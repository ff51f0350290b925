//! Counts what one request spends of its budget.

use crate::gateway::budget;

/// Counts what one request spends, as it happens, so that a request that is cancelled counts too.
pub struct TokenMeter {
    reservation: Option<budget::Reservation>,
    input_tokens: u64,
    tokens_per_event: u64,
    is_in_attempt: bool,
    may_have_run: bool,
    output_tokens: u64,
}

impl TokenMeter {
    /// Begins to count a request whose prompt has `input` tokens and whose events hold
    /// `per_event` tokens each; without a reservation nothing is paid for.
    pub fn new(
        reservation: Option<budget::Reservation>,
        input_tokens: u64,
        tokens_per_event: u64,
    ) -> Self {
        Self {
            reservation,
            input_tokens,
            tokens_per_event,
            is_in_attempt: false,
            may_have_run: false,
            output_tokens: 0,
        }
    }

    /// Notes that the request is about to be sent. A request starts to run with its first token;
    /// one that is cancelled before any came costs nothing.
    pub fn begin_attempt(&mut self) {
        self.is_in_attempt = true;
    }

    /// Notes how a send ended; the input counts, once, when it may have run.
    pub fn end_attempt(&mut self, may_have_run: bool) {
        self.is_in_attempt = false;
        self.may_have_run |= may_have_run;
        self.update_reservation();
    }

    /// Counts events that go to the caller.
    pub fn count_events(&mut self, events: u64) {
        self.output_tokens += events * self.tokens_per_event;
        self.update_reservation();
    }

    /// Whether an attempt may have run, or may still run.
    pub fn may_have_run(&self) -> bool {
        self.is_in_attempt || self.may_have_run
    }

    fn update_reservation(&mut self) {
        let counts = self.may_have_run || self.output_tokens > 0;
        let input = if counts { self.input_tokens } else { 0 };
        if let Some(reservation) = &mut self.reservation {
            reservation.spend(input + self.output_tokens);
        }
    }
}
