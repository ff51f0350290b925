//! `Retry-After` of requests that are refused because the servers can't serve them in time.

use std::time::Duration;

/// Shortest `Retry-After`, and the range of its jitter, as factors of the time for which the queue lasts.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(15);
const MIN_JITTER: f64 = 0.5;
const MAX_JITTER: f64 = 1.5;

/// Part of the time that a caller has left which `Retry-After` may take at most.
const MAX_RETRY_PART: u32 = 3;

/// `Retry-After` of a refused request, when the queue lasts for `drain_time`. `draw` is a random number
/// from 0 to 1.
///
/// ```
/// use std::time::Duration;
/// use fulmarproxy::coordination::limits::retry_after;
/// let ms = Duration::from_millis;
/// assert_eq!(retry_after::retry_after(ms(200), ms(900), 0.0), ms(100));
/// assert_eq!(retry_after::retry_after(ms(200), ms(900), 1.0), ms(300));
/// assert_eq!(retry_after::retry_after(ms(2), ms(900), 0.5), ms(15));
/// assert_eq!(retry_after::retry_after(Duration::MAX, ms(900), 1.0), ms(300));
/// ```
pub fn retry_after(drain_time: Duration, time_left: Duration, draw: f64) -> Duration {
    let jitter = MIN_JITTER + (MAX_JITTER - MIN_JITTER) * draw;
    // A longer time changes nothing, as half of `time_left` is more than is returned.
    let drain_time = drain_time.min(time_left);
    let after = drain_time.mul_f64(jitter).max(MIN_RETRY_AFTER);
    after.min(time_left / MAX_RETRY_PART)
}
