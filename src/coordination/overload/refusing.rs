//! Which new requests a gateway refuses because it is short of processor time.
//!
//! Handles gateways to which the platform assigns more callers than their processor can serve while others
//! have room. A caller that is refused at once reaches another gateway on a new connection, and is still
//! served in time. The refused part is found by feedback from the lag, since neither the processor time of
//! a gateway nor the price of a request is known.

use std::time::Duration;

/// Lag that is tolerated, as a fraction of the shortest target latency in use. A request passes about four
/// turns of the event loop until its first event, so a half of the target remains for the rest.
const LAG_FRACTION: f64 = 0.125;

/// Turns of the event loop until a request is answered; each takes as long as the lag.
const TURNS: u32 = 4;

/// Bounds of the lag that is tolerated. A VM that gets its processor time in slices has a lag of some 10 ms
/// long before it is overloaded.
const MIN_LIMIT: Duration = Duration::from_millis(30);
const MAX_LIMIT: Duration = Duration::from_millis(200);

/// Change of the pressure per tick when the lag is twice the tolerated one or more, and when it is zero. A
/// full change takes two seconds at least; faster ones oscillated with the time that a request runs.
const MAX_GROWTH: f64 = 0.05;
const MAX_DECREASE: f64 = 0.05;

/// Part of the requests of one kind that is refused at most, so that no kind starves.
const MAX_CHANCE: f64 = 0.75;

/// Part of the known gateways that must have room for the full pressure to apply.
const FULL_ROOM: f64 = 0.5;

/// Time for which a route counts as in use after a request, at least.
const ROUTE_MEMORY: Duration = Duration::from_secs(10);

/// `Retry-After` of a refused request: long enough for the callers refused at the same time to spread, and
/// a small part of the shortest target latency (300 ms).
const MIN_RETRY_AFTER: Duration = Duration::from_millis(15);
const MAX_RETRY_AFTER: Duration = Duration::from_millis(45);

/// Part of the time that a caller has left which `Retry-After` may take at most.
const MAX_RETRY_PART: u32 = 3;

/// A new request.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Target for the time to its first byte.
    pub target: Duration,
    /// Whether its answer is a stream.
    pub is_stream: bool,
    /// Time within which it must be answered.
    pub time_left: Duration,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Reason {
    /// It belongs to the part that is refused because others have room.
    #[display("share")]
    Share,
    /// It can't be answered before its deadline.
    #[display("deadline")]
    Deadline,
}

/// Shortest and longest target latency of the requests in a period.
#[derive(Clone, Copy, Debug)]
struct Targets {
    min: Duration,
    max: Duration,
}

/// Decides which requests are refused.
#[derive(Clone, Debug, Default)]
pub struct Refusing {
    /// How much is refused, from 0 to 1; see [`Refusing::chance`].
    pressure: f64,
    /// Targets in the current period and in the one before it.
    targets: [Option<Targets>; 2],
    period_start: Duration,
}

impl Refusing {
    /// Records a request that arrived, so that its route counts as in use.
    pub fn record_request(&mut self, target: Duration, now: Duration) {
        self.end_period(now);
        let current = self.targets[0].get_or_insert(Targets {
            min: target,
            max: target,
        });
        current.min = current.min.min(target);
        current.max = current.max.max(target);
    }

    fn end_period(&mut self, now: Duration) {
        if now >= self.period_start + ROUTE_MEMORY {
            let is_recent = now < self.period_start + 2 * ROUTE_MEMORY;
            self.targets = [None, self.targets[0].filter(|_| is_recent)];
            self.period_start = now;
        }
    }

    /// Targets of the routes in use.
    fn in_use(&self) -> Option<Targets> {
        let both = self.targets.iter().flatten().copied();
        both.reduce(|a, b| Targets {
            min: a.min.min(b.min),
            max: a.max.max(b.max),
        })
    }

    /// Lag that is tolerated; `None` while no route is in use.
    pub fn limit(&self) -> Option<Duration> {
        let limit = self.in_use()?.min.mul_f64(LAG_FRACTION);
        Some(limit.clamp(MIN_LIMIT, MAX_LIMIT))
    }

    /// How busy the gateway is: its lag relative to the tolerated one.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::overload::refusing::Refusing;
    /// let mut refusing = Refusing::default();
    /// refusing.record_request(Duration::from_millis(400), Duration::ZERO);
    /// assert_eq!(refusing.busy(Duration::from_millis(100)), 2.0);
    /// ```
    pub fn busy(&self, lag: Duration) -> f64 {
        let limit = self.limit().unwrap_or(MAX_LIMIT);
        lag.as_secs_f64() / limit.as_secs_f64()
    }

    /// How much is refused, from 0 to 1.
    pub fn pressure(&self) -> f64 {
        self.pressure
    }

    /// Adjusts the pressure to the lag, once for each tick. `room` is the part of the known gateways that
    /// have room; without any, nothing is refused that others could take, and the pressure falls.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::overload::refusing::Refusing;
    /// let mut refusing = Refusing::default();
    /// refusing.record_request(Duration::from_millis(400), Duration::ZERO);
    /// refusing.adjust(Duration::from_millis(100), 1.0, Duration::ZERO);
    /// assert_eq!(refusing.pressure(), 0.05);
    /// refusing.adjust(Duration::from_millis(100), 0.0, Duration::ZERO);
    /// assert_eq!(refusing.pressure(), 0.0);
    /// ```
    pub fn adjust(&mut self, lag: Duration, room: f64, now: Duration) {
        self.end_period(now);
        let over = self.busy(lag) - 1.0;
        let change = match room > 0.0 {
            true if over > 0.0 => MAX_GROWTH * over.min(1.0),
            true => MAX_DECREASE * over,
            false => -MAX_DECREASE,
        };
        self.pressure = (self.pressure + change).clamp(0.0, 1.0);
    }

    /// Probability that a request is refused because others have room.
    ///
    /// Requests whose refusal costs their callers the smallest part of the target latency and saves most
    /// processor time go first: those with long targets, and streams. With rising pressure the
    /// probability of each kind rises from zero, of the first kind from the start and of the last one from
    /// half of the full pressure on. It does not depend on the size of a request.
    pub fn chance(&self, req: &Request, room: f64) -> f64 {
        let relative = match self.in_use() {
            Some(Targets { min, max }) if max > min => {
                let over = req.target.saturating_sub(min).as_secs_f64();
                (over / (max - min).as_secs_f64()).min(1.0)
            }
            _ => 0.5,
        };
        let order = (relative + f64::from(u8::from(req.is_stream))) / 2.0;
        let chance = (2.0 * self.pressure - (1.0 - order)).clamp(0.0, MAX_CHANCE);
        chance * (room / FULL_ROOM).min(1.0)
    }

    /// Whether a request is refused, and why. `draw` is a random number from 0 to 1.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::overload::refusing::{Reason, Refusing, Request};
    /// let refusing = Refusing::default();
    /// let (target, time_left) = (Duration::from_millis(300), Duration::from_secs(2));
    /// let req = Request { target, is_stream: true, time_left };
    /// let lag = Duration::from_millis(400);
    /// assert_eq!(refusing.decide(&req, lag, 1.0, 0.0), None);
    /// let req = Request { time_left: Duration::from_secs(1), ..req };
    /// assert_eq!(refusing.decide(&req, lag, 0.0, 0.0), Some(Reason::Deadline));
    /// ```
    pub fn decide(&self, req: &Request, lag: Duration, room: f64, draw: f64) -> Option<Reason> {
        if lag > MIN_LIMIT && lag * TURNS > req.time_left {
            return Some(Reason::Deadline);
        }
        (draw < self.chance(req, room)).then_some(Reason::Share)
    }
}

/// `Retry-After` of a refused request. `draw` is a random number from 0 to 1.
///
/// ```
/// use std::time::Duration;
/// use fulmarproxy::coordination::overload::refusing;
/// let left = Duration::from_secs(2);
/// assert_eq!(refusing::retry_after(left, 0.0), Duration::from_millis(15));
/// assert_eq!(refusing::retry_after(left, 1.0), Duration::from_millis(45));
/// assert_eq!(refusing::retry_after(Duration::from_millis(60), 1.0), Duration::from_millis(20));
/// ```
pub fn retry_after(time_left: Duration, draw: f64) -> Duration {
    let after = MIN_RETRY_AFTER + (MAX_RETRY_AFTER - MIN_RETRY_AFTER).mul_f64(draw);
    after.min(time_left / MAX_RETRY_PART)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn pressed(ticks: u32) -> Refusing {
        let mut refusing = Refusing::default();
        for target in [300, 1500].map(Duration::from_millis) {
            refusing.record_request(target, Duration::ZERO);
        }
        for _ in 0..ticks {
            refusing.adjust(Duration::from_secs(1), 1.0, Duration::ZERO);
        }
        refusing
    }

    /// Guards against refusing requests with short targets while others could go, and against starving
    /// one kind.
    #[test]
    fn long_targets_and_streams_go_first_and_no_kind_starves() {
        let time_left = Duration::from_secs(5);
        let kinds = [(1500, true), (300, true), (1500, false), (300, false)];
        for ticks in 0..100 {
            let refusing = pressed(ticks);
            let chances = kinds.map(|(target, is_stream)| {
                let target = Duration::from_millis(target);
                let req = Request {
                    target,
                    is_stream,
                    time_left,
                };
                refusing.chance(&req, 1.0)
            });
            assert!(chances.is_sorted_by(|a, b| a >= b), "{chances:?}");
            assert!(chances[0] <= MAX_CHANCE);
            assert_eq!(chances[0] > 0.0, ticks > 0);
        }
    }

    /// Guards against refusals that send callers to gateways without room.
    #[test]
    fn nothing_that_can_be_answered_is_refused_without_room() {
        let refusing = pressed(100);
        let req = Request {
            target: Duration::from_millis(1500),
            is_stream: true,
            time_left: Duration::from_secs(5),
        };
        assert_eq!(
            refusing.decide(&req, Duration::from_secs(1), 0.0, 0.0),
            None
        );
        assert!(refusing.chance(&req, 0.25) < refusing.chance(&req, 0.5));
    }

    /// Guards against a limit that follows a route nobody uses any more.
    #[test]
    fn targets_of_routes_that_are_not_used_are_forgotten() {
        let mut refusing = pressed(0);
        let ms = Duration::from_millis;
        assert_eq!(refusing.limit(), Some(ms(300).mul_f64(LAG_FRACTION)));
        for second in 0..30 {
            refusing.record_request(ms(800), Duration::from_secs(second));
        }
        assert_eq!(refusing.limit(), Some(ms(100)));
        refusing.adjust(Duration::ZERO, 1.0, Duration::from_secs(90));
        assert_eq!(refusing.limit(), None);
    }
}
