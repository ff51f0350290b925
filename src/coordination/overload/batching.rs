//! How long events of a stream are collected before they are read and sent on together.
//!
//! Handles gateways that spend most of their processor time on a wake-up, a read and a write for each
//! event. The events of a pause share them.

use std::time::Duration;

/// Lag from which on events are collected. On an idle processor timers are late by less than 2 ms.
const MIN_LAG: Duration = Duration::from_millis(5);

/// Pause, as a fraction of the time that an event may take through the gateway less the lag. The
/// pause ends late by the lag, and the rest covers the way to the caller.
const FRACTION: f64 = 0.4;

/// Shortest pause. Engines send an event every 20 to 40 ms, and pauses of 9 ms saved no system call.
const MIN_PAUSE: Duration = Duration::from_millis(20);

/// Time for which events are collected; `None` when they are sent on as they arrive.
///
/// `pass_time` is the time that an event may take from the backend server to the caller, `lag` that of
/// the process.
///
/// ```
/// use std::time::Duration;
/// use fulmarproxy::coordination::overload::batching;
/// let ms = Duration::from_millis;
/// let pause = |lag| batching::pause(Some(ms(150)), ms(lag));
/// assert_eq!(pause(2), None, "it has enough processor time");
/// assert_eq!(pause(10), Some(ms(56)));
/// assert_eq!(pause(50), Some(ms(40)));
/// assert_eq!(pause(120), None, "events arrive together as it is");
/// assert_eq!(batching::pause(None, ms(50)), None);
/// ```
pub fn pause(pass_time: Option<Duration>, lag: Duration) -> Option<Duration> {
    let pause = pass_time?.checked_sub(lag)?.mul_f64(FRACTION);
    (lag >= MIN_LAG && pause >= MIN_PAUSE).then_some(pause)
}

/// Whether a stream may be paused after `events` events, of `max_events` that its request allows at most.
/// Neither the first event nor the end of a stream is delayed: the last event brings the end with it.
///
/// ```
/// use fulmarproxy::coordination::overload::batching;
/// assert!(!batching::may_pause(0, Some(10)));
/// assert!(batching::may_pause(5, Some(10)));
/// assert!(!batching::may_pause(10, Some(10)));
/// assert!(batching::may_pause(10, None));
/// ```
pub fn may_pause(events: u64, max_events: Option<u64>) -> bool {
    events > 0 && max_events.is_none_or(|max| events < max)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against events that take longer than allowed because they are collected.
    #[test]
    fn a_pause_with_the_lag_at_both_of_its_ends_fits_into_the_time_of_an_event() {
        for pass in 120..=200 {
            for lag in 0..=pass {
                let (pass, lag) = (Duration::from_millis(pass), Duration::from_millis(lag));
                let Some(pause) = pause(Some(pass), lag) else {
                    continue;
                };
                assert!(lag + pause <= pass && pause <= pass.mul_f64(FRACTION));
                assert!(
                    lag > pass / 3 || lag + pause + lag <= pass,
                    "{pass:?} {lag:?}"
                );
            }
        }
    }
}
