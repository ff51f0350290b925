//! Counts the tokens that one request spends of its budget.

use crate::gateway::reserving;

/// Counts the tokens that one request spends. The reservation is updated at once, so that the count
/// is right whenever the request is cancelled.
pub struct TokenMeter {
    reservation: Option<reserving::Reservation>,
    input_tokens: u64,
    tokens_per_event: u64,
    is_awaiting_response: bool,
    may_have_run: bool,
    output_tokens: u64,
}

impl TokenMeter {
    /// Creates the meter of a request whose prompt has `input_tokens` tokens and whose events
    /// contain `tokens_per_event` tokens each. Without a reservation, no budget pays for the
    /// request.
    pub fn new(
        reservation: Option<reserving::Reservation>,
        input_tokens: u64,
        tokens_per_event: u64,
    ) -> Self {
        Self {
            reservation,
            input_tokens,
            tokens_per_event,
            is_awaiting_response: false,
            may_have_run: false,
            output_tokens: 0,
        }
    }

    /// Records that the request is about to be sent. The input is not counted yet: a request starts
    /// to run with its first token, and one that is cancelled before then costs nothing.
    pub fn begin_send(&mut self) {
        self.is_awaiting_response = true;
    }

    /// Records that a response arrived or that the attempt failed. If the request may have run, its
    /// input is counted, once over all attempts.
    pub fn record_send_result(&mut self, may_have_run: bool) {
        self.is_awaiting_response = false;
        self.may_have_run |= may_have_run;
        self.update_reservation();
    }

    /// Counts events that are relayed to the caller.
    pub fn count_events(&mut self, events: u64) {
        let tokens = events.saturating_mul(self.tokens_per_event);
        self.output_tokens = self.output_tokens.saturating_add(tokens);
        self.update_reservation();
    }

    /// Whether an attempt may have run or may still be running.
    pub fn may_have_run(&self) -> bool {
        self.is_awaiting_response || self.may_have_run
    }

    fn update_reservation(&mut self) {
        let counts = self.may_have_run || self.output_tokens > 0;
        let input = if counts { self.input_tokens } else { 0 };
        if let Some(reservation) = &mut self.reservation {
            reservation.spend(input.saturating_add(self.output_tokens));
        }
    }
}
