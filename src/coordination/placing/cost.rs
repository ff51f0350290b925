//! What a request costs at a backend server: the delay of its own first event, and the delay that it
//! causes to the requests that are there already.
//!
//! An engine reads prompts in the order of their arrival, one chunk between two steps. In each step all
//! requests that have been read get their next token. So tokens before a request delay its first event,
//! and its own tokens delay the events of all requests that run beside it.

/// Tokens of prompts that an engine reads in a millisecond: the middle of the 30 to 57 observed. Errors
/// common to all servers of a service do not change the choice much, and differences are measured.
pub const READ_PER_MS: f64 = 40.0;

/// Tokens of prompts that an engine reads between two steps, as observed.
const CHUNK_TOKENS: f64 = 2048.0;

/// Milliseconds of a step without a chunk, and for each running request in it.
const STEP_MS: f64 = 6.0;
const STEP_MS_PER_RUNNING: f64 = 0.25;

/// Milliseconds for which a request holds a slot, as assumed for those that wait for one.
const SLOT_MS: f64 = 1500.0;

/// Requests by which the number at a server is uncertain. It may be full before it is reported as full.
const SLOT_SOFTNESS: f64 = 3.0;

/// Cost of a running request to the next one at the same server, in milliseconds: it may hold the last
/// slot, and shows that a router's requests meet there.
const RUNNING_MS: f64 = 2.0;

/// Weight of the time for which a running request is delayed, without being late.
const WEIGHT_OF_DELAY: f64 = 0.03;

/// Requests that wait for a token which is read though another server has read it, beyond the request
/// itself and those at a server in the mean: some of those that come later.
const READ_AGAIN: f64 = 2.0;

/// Part of the target for gaps from which on a request counts as late. Deviations of the speed up to 14 %
/// count as none ([`speed`](super::speed)), so gaps may be that much longer than expected.
const GAP_MARGIN: f64 = 0.86;

/// What is known of a server when a request is placed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerState {
    /// Tokens of prompts that it has still to read.
    pub unread_tokens: f64,
    /// Requests that it runs or that wait for a slot there.
    pub running: f64,
    /// Requests that it runs concurrently.
    pub slots: f64,
    /// Time that it takes for the same work, relative to the mean of its service.
    pub slowness: f64,
}

/// What a server has to do for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Work {
    /// Tokens of the prompt that it has to read.
    pub unread_tokens: f64,
    /// Those of them that another server has read already.
    pub read_again: f64,
    /// Output tokens per event of a stream; 1 for a plain answer.
    pub tokens_per_event: f64,
    /// Target for the time between two events of the requests there, in milliseconds.
    pub target_gap_ms: f64,
    /// Share of the slots of all servers that are taken, more than 1 when requests wait; 0 when it is
    /// not known.
    pub utilization: f64,
}

/// What is expected when a server gets a request; all in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Expected {
    /// Time until its first event.
    pub first_event_ms: f64,
    /// Longest time between two events of a request at the server, while prompts are read there.
    pub gap_ms: f64,
    /// Sum of the delays to other requests.
    pub others_ms: f64,
}

/// Milliseconds of a step with this many running requests.
fn step_ms(running: f64) -> f64 {
    STEP_MS + STEP_MS_PER_RUNNING * running
}

/// Computes what is expected when a server gets a request.
///
/// ```
/// use fulmarproxy::coordination::placing::cost;
/// let idle = cost::ServerState { unread_tokens: 0.0, running: 0.0, slots: 16.0, slowness: 1.0 };
/// let busy = cost::ServerState { running: 8.0, ..idle };
/// let behind = cost::ServerState { unread_tokens: 20_000.0, ..idle };
/// let short = cost::Work {
///     unread_tokens: 200.0, read_again: 0.0, tokens_per_event: 4.0,
///     target_gap_ms: 300.0, utilization: 0.5,
/// };
/// let long = cost::Work { unread_tokens: 20_000.0, ..short };
/// let cost = |state, work| cost::expect(state, work).cost();
/// // A short prompt goes beside running requests rather than behind a long one; a long one does not.
/// assert!(cost(&busy, &short) < cost(&behind, &short));
/// assert!(cost(&idle, &long) < cost(&busy, &long));
/// ```
pub fn expect(state: &ServerState, work: &Work) -> Expected {
    let step = step_ms(state.running);
    let tokens = state.unread_tokens + work.unread_tokens;
    let reading = tokens / READ_PER_MS + tokens / CHUNK_TOKENS * step;
    let for_slot = requests_ahead(state) * SLOT_MS / state.slots.max(1.0);
    let own_reading =
        work.unread_tokens / READ_PER_MS + work.unread_tokens / CHUNK_TOKENS * STEP_MS;
    let in_steps = STEP_MS_PER_RUNNING * work.tokens_per_event;
    let delay = WEIGHT_OF_DELAY * (own_reading + in_steps) + RUNNING_MS;
    let late = |tokens| {
        let gap = state.slowness * gap_ms(state.running, tokens, work.tokens_per_event);
        (gap - work.target_gap_ms * GAP_MARGIN).max(0.0)
    };
    let late_ms = late(tokens) - late(state.unread_tokens);
    // Time for reading again delays all requests at the server, of which there are as many as at the others in
    // the mean. Without this, 34 instead of 20 % of the short prompts were late at the capacity of 18 engines.
    let delayed = work.utilization * state.slots;
    let read_again = work.read_again / READ_PER_MS * (READ_AGAIN + delayed);
    Expected {
        first_event_ms: state.slowness * (reading + work.tokens_per_event * step + for_slot),
        gap_ms: state.slowness * gap_ms(state.running, tokens, work.tokens_per_event),
        others_ms: state.slowness * (state.running * delay + read_again) + state.running * late_ms,
    }
}

/// Requests that a request probably has to wait for until it gets a slot.
fn requests_ahead(state: &ServerState) -> f64 {
    let beyond = (state.running + 1.0 - state.slots) / SLOT_SOFTNESS;
    match beyond {
        // Far from full, and where the exponential would not be finite.
        ..-8.0 => 0.0,
        30.0.. => SLOT_SOFTNESS * beyond,
        _ => SLOT_SOFTNESS * beyond.exp().ln_1p(),
    }
}

/// Time between two events of a running request at a server of mean speed, in milliseconds, while this
/// many tokens are still to be read there.
///
/// ```
/// use fulmarproxy::coordination::placing::cost;
/// // A chunk of 2048 tokens is read before each of the four tokens of an event.
/// assert!((200.0..300.0).contains(&cost::gap_ms(4.0, 40_000.0, 4.0)));
/// assert!(cost::gap_ms(4.0, 0.0, 4.0) < 30.0);
/// ```
pub fn gap_ms(running: f64, unread_tokens: f64, tokens_per_event: f64) -> f64 {
    let read = unread_tokens.min(tokens_per_event * CHUNK_TOKENS);
    tokens_per_event * step_ms(running) + read / READ_PER_MS
}

impl Expected {
    /// Sum by which servers are compared, in milliseconds.
    pub fn cost(&self) -> f64 {
        self.first_event_ms + self.others_ms
    }
}
