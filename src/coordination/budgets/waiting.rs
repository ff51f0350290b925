//! Requests that wait for tokens, by workspace.
//!
//! Handles a gateway to which one workspace suddenly sends many requests: one draw at a time asks
//! the budget's home for the tokens of all that wait. Its reply decides who is served, who is
//! refused at once and which ones continue to wait.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use crate::state::name;

/// `Retry-After` of a refusal when the home does not know when tokens will be available.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Fraction of the time that a caller has left which a `Retry-After` may amount to.
const MAX_RETRY_FRACTION: f64 = 1.0 / 3.0;

/// Time for which a request may wait while draws bring less than all that wait for.
///
/// Several draws fit in, of which one has the home fill its reserve. A further draw at a slow
/// gateway takes 0.2 s.
const MAX_SHORT_WAIT: Duration = Duration::from_millis(400);

/// Shortest and longest time that the tokens drawn ahead of demand are to last. The shortest is the
/// time limit of a call to the home, during which no further draw is made.
const AHEAD_TIMES: [Duration; 2] = [Duration::from_millis(250), Duration::from_secs(1)];

/// Requests until the next draw from which on the arrivals count as a burst.
const MIN_BURST_REQUESTS: u64 = 2;

/// Time without draws ahead of demand after one that brought nothing; the interval at which homes
/// fill their reserves.
const AHEAD_PAUSE: Duration = Duration::from_millis(500);

/// Why a request gets no tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// The tokens left in the budget are known not to cover the request.
    Exhausted,
    /// The budget's home has too few tokens for now; with the delay after which it may have them,
    /// if it knows one.
    HomeShort(Option<Duration>),
    /// No gateway that could be the home answered.
    NoAnswer,
    /// The request has waited for as long as a request may.
    TimedOut,
}

impl Refused {
    /// Reason as in the log and the metrics.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Exhausted => "exhausted",
            Self::HomeShort(_) => "home_short",
            Self::NoAnswer => "no_answer",
            Self::TimedOut => "timed_out",
        }
    }

    /// Delay after which the caller may try again, when it has `time_left`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::budgets::waiting::Refused;
    /// let short = Refused::HomeShort(Some(Duration::from_secs(2)));
    /// assert_eq!(short.retry_after(Duration::from_secs(9)), Duration::from_secs(2));
    /// assert_eq!(short.retry_after(Duration::from_secs(3)), Duration::from_secs(1));
    /// ```
    pub fn retry_after(&self, time_left: Duration) -> Duration {
        let delay = match self {
            Self::HomeShort(Some(delay)) => *delay,
            _ => RETRY_DELAY,
        };
        delay.min(time_left.mul_f64(MAX_RETRY_FRACTION))
    }
}

/// What became of a request that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Its tokens are reserved.
    Reserved,
    /// It gets none.
    Refused(Refused),
}

/// A request that waits.
#[derive(Debug)]
pub struct Entry<T> {
    id: u64,
    since: Duration,
    /// Tokens that it needs.
    pub tokens: u64,
    /// Id of the request when it is sampled for the log.
    pub request: Option<name::Name>,
    /// How it is notified.
    pub notify: T,
}

/// Requests of a workspace that wait, the oldest first.
#[derive(Debug)]
struct Queue<T> {
    entries: VecDeque<Entry<T>>,
    /// Tokens of all entries.
    total: u64,
    /// No entry needs fewer tokens; saves the search when thousands wait and few are available.
    smallest: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            entries: VecDeque::new(),
            total: 0,
            smallest: u64::MAX,
        }
    }
}

impl<T> Queue<T> {
    fn push(&mut self, entry: Entry<T>) {
        self.total = self.total.saturating_add(entry.tokens);
        self.smallest = self.smallest.min(entry.tokens);
        self.entries.push_back(entry);
    }
}

/// Requests that wait, by workspace. `T` is how a request is notified.
#[derive(Debug)]
pub struct Waiting<T> {
    queues: HashMap<name::Name, Queue<T>>,
    next_id: u64,
    drawing: HashSet<name::Name>,
    paused_until: HashMap<name::Name, Duration>,
    draw_times: HashMap<name::Name, Duration>,
}

impl<T> Default for Waiting<T> {
    fn default() -> Self {
        Self {
            queues: HashMap::new(),
            next_id: 0,
            drawing: HashSet::new(),
            paused_until: HashMap::new(),
            draw_times: HashMap::new(),
        }
    }
}

impl<T> Waiting<T> {
    /// Adds a request; returns the number under which [`Self::end`] removes it.
    pub fn begin(
        &mut self,
        workspace: &name::Name,
        tokens: u64,
        request: Option<name::Name>,
        notify: T,
        now: Duration,
    ) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        let entry = Entry {
            id,
            since: now,
            tokens,
            request,
            notify,
        };
        self.queues
            .entry(workspace.clone())
            .or_default()
            .push(entry);
        id
    }

    /// Removes a request that waits no longer, if it is still waiting.
    pub fn end(&mut self, workspace: &str, id: u64) {
        let Some(queue) = self.queues.get_mut(workspace) else {
            return;
        };
        // The numbers rise from the oldest entry to the newest.
        if let Ok(at) = queue.entries.binary_search_by_key(&id, |entry| entry.id)
            && let Some(entry) = queue.entries.remove(at)
        {
            queue.total = queue.total.saturating_sub(entry.tokens);
        }
        if queue.entries.is_empty() {
            self.queues.remove(workspace);
        }
    }

    /// Tokens that the requests of a workspace wait for.
    pub fn total(&self, workspace: &str) -> u64 {
        self.queues.get(workspace).map_or(0, |queue| queue.total)
    }

    /// Whether a draw ahead of demand is to be made, because the available tokens cover less than half
    /// of what is `expected` until the next draw.
    ///
    /// Only a burst is a reason, that is several requests of `tokens` in this time: elsewhere a
    /// draw for each request costs less than tokens that are drawn and flow back.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut waiting = fulmarproxy::coordination::budgets::waiting::Waiting::<()>::default();
    /// let now = Duration::from_secs(1);
    /// assert!(waiting.is_ahead_due("desk", 100, 400, 199, now));
    /// assert!(!waiting.is_ahead_due("desk", 100, 400, 200, now));
    /// assert!(!waiting.is_ahead_due("desk", 100, 150, 0, now), "one request");
    /// waiting.pause_ahead(&"desk".into(), now);
    /// assert!(!waiting.is_ahead_due("desk", 100, 400, 0, now), "the home had none");
    /// ```
    pub fn is_ahead_due(
        &self,
        workspace: &str,
        tokens: u64,
        expected: u64,
        available: u64,
        now: Duration,
    ) -> bool {
        let paused = self.paused_until.get(workspace);
        expected >= tokens.saturating_mul(MIN_BURST_REQUESTS)
            && available < expected / 2
            && paused.is_none_or(|until| now >= *until)
    }

    /// Forgets what is noted of workspaces that `is_known` does not accept and that nobody waits for.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.paused_until.retain(|workspace, _| is_known(workspace));
        self.draw_times.retain(|workspace, _| is_known(workspace));
    }

    /// Records the duration of a draw.
    pub fn record_draw(&mut self, workspace: &name::Name, took: Duration) {
        self.draw_times.insert(workspace.clone(), took);
    }

    /// Time for which tokens drawn ahead of demand are to last: while the next draw is made, which
    /// begins when half of them are left.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut waiting = fulmarproxy::coordination::budgets::waiting::Waiting::<()>::default();
    /// assert_eq!(waiting.ahead_time("desk"), Duration::from_millis(250));
    /// waiting.record_draw(&"desk".into(), Duration::from_millis(300));
    /// assert_eq!(waiting.ahead_time("desk"), Duration::from_millis(600));
    /// ```
    pub fn ahead_time(&self, workspace: &str) -> Duration {
        let took = self.draw_times.get(workspace).copied().unwrap_or_default();
        let [shortest, longest] = AHEAD_TIMES;
        (took * 2).clamp(shortest, longest)
    }

    /// Stops draws ahead of demand for a while, because the home has no tokens for them.
    pub fn pause_ahead(&mut self, workspace: &name::Name, now: Duration) {
        let until = now + AHEAD_PAUSE;
        self.paused_until.insert(workspace.clone(), until);
    }

    /// Whether the caller is to draw for the requests that wait: none other does.
    ///
    /// ```
    /// # let now = std::time::Duration::ZERO;
    /// let mut waiting = fulmarproxy::coordination::budgets::waiting::Waiting::default();
    /// waiting.begin(&"desk".into(), 100, None, (), now);
    /// assert!(waiting.start_drawing(&"desk".into()));
    /// assert!(!waiting.start_drawing(&"desk".into()));
    /// ```
    pub fn start_drawing(&mut self, workspace: &name::Name) -> bool {
        self.drawing.insert(workspace.clone())
    }

    /// The request for which the next draw is made; `None` ends the draws.
    ///
    /// It is the oldest one, so that large requests don't wait behind small ones. After a draw that
    /// brought nothing, and no information on how many tokens are left, it is the smallest one:
    /// either it is served, or all are refused.
    ///
    /// ```
    /// # let now = std::time::Duration::ZERO;
    /// let mut waiting = fulmarproxy::coordination::budgets::waiting::Waiting::default();
    /// waiting.begin(&"desk".into(), 100, None, (), now);
    /// waiting.begin(&"desk".into(), 30, None, (), now);
    /// assert_eq!(waiting.next_draw("desk", false).map(|entry| entry.tokens), Some(100));
    /// assert_eq!(waiting.next_draw("desk", true).map(|entry| entry.tokens), Some(30));
    /// ```
    pub fn next_draw(&mut self, workspace: &str, is_short: bool) -> Option<&Entry<T>> {
        let Some(queue) = self.queues.get(workspace) else {
            self.drawing.remove(workspace);
            return None;
        };
        match is_short {
            true => queue.entries.iter().min_by_key(|entry| entry.tokens),
            false => queue.entries.front(),
        }
    }

    /// Removes and returns the requests that the available tokens cover, the oldest first.
    ///
    /// ```
    /// # let now = std::time::Duration::ZERO;
    /// let mut waiting = fulmarproxy::coordination::budgets::waiting::Waiting::default();
    /// for tokens in [60, 50, 40] {
    ///     waiting.begin(&"desk".into(), tokens, None, (), now);
    /// }
    /// let served = waiting.take_served("desk", 105);
    /// assert_eq!(served.iter().map(|entry| entry.tokens).collect::<Vec<_>>(), [60, 40]);
    /// assert_eq!(waiting.total("desk"), 50);
    /// ```
    pub fn take_served(&mut self, workspace: &str, available: u64) -> Vec<Entry<T>> {
        let queue = self.queues.get(workspace);
        if queue.is_none_or(|queue| available < queue.smallest) {
            return Vec::new();
        }
        let mut left = available;
        self.take(workspace, |entry| {
            let is_served = entry.tokens <= left;
            if is_served {
                left -= entry.tokens;
            }
            is_served
        })
    }

    /// Removes and returns the requests that are refused after a draw failed, because they need more
    /// than the tokens `left` for one request.
    ///
    /// When no gateway answered, waiting helps none of them, and all are refused.
    ///
    /// ```
    /// use fulmarproxy::coordination::budgets::waiting::{Refused, Waiting};
    /// # let now = std::time::Duration::ZERO;
    /// let mut waiting = Waiting::default();
    /// for tokens in [60, 50, 40] {
    ///     waiting.begin(&"desk".into(), tokens, None, (), now);
    /// }
    /// assert_eq!(waiting.take_refused("desk", 49, Refused::Exhausted).len(), 2);
    /// assert_eq!(waiting.take_refused("desk", 49, Refused::NoAnswer).len(), 1);
    /// ```
    pub fn take_refused(&mut self, workspace: &str, left: u64, refused: Refused) -> Vec<Entry<T>> {
        let refuses_all = refused == Refused::NoAnswer;
        self.take(workspace, |entry| refuses_all || entry.tokens > left)
    }

    /// Removes and returns the requests that are refused because a draw did not bring their tokens
    /// and they have waited for 0.4 s.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut waiting = fulmarproxy::coordination::budgets::waiting::Waiting::default();
    /// waiting.begin(&"desk".into(), 60, None, (), Duration::ZERO);
    /// assert_eq!(waiting.take_overdue("desk", Duration::from_millis(399)).len(), 0);
    /// assert_eq!(waiting.take_overdue("desk", Duration::from_millis(400)).len(), 1);
    /// ```
    pub fn take_overdue(&mut self, workspace: &str, now: Duration) -> Vec<Entry<T>> {
        self.take(workspace, |entry| now >= entry.since + MAX_SHORT_WAIT)
    }

    fn take(
        &mut self,
        workspace: &str,
        mut is_taken: impl FnMut(&Entry<T>) -> bool,
    ) -> Vec<Entry<T>> {
        let Some(queue) = self.queues.remove(workspace) else {
            return Vec::new();
        };
        let (mut taken, mut kept) = (Vec::new(), Queue::default());
        for entry in queue.entries {
            match is_taken(&entry) {
                true => taken.push(entry),
                false => kept.push(entry),
            }
        }
        if !kept.entries.is_empty() {
            self.queues.insert(workspace.into(), kept);
        }
        taken
    }
}
