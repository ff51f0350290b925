//! Whether the state of the store that a gateway holds is too old to act on.
//!
//! Handles links that callers fill and processes that are short of processor time: what the store or a leader
//! sends then waits behind everything else, and the gateway cannot distinguish "no change" from a change on its way.
//! Handles changes that are known to exist and take long to arrive.
//! A store that is down is another matter: nobody knows more, and requests are served on.

use std::time::Duration;

use derive_more::Display;

use crate::coordination::overload::own_delay;

/// Why a gateway must not act on the state that it holds.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Outdated {
    /// The own VM is slow, and the state was not confirmed for too long.
    #[display("stale")]
    Stale,
    /// A change is known for too long that has not arrived.
    #[display("behind")]
    Behind,
}

/// Part of the time within which a change must be in force that may pass without a confirmation. The rest is
/// for requests on their way to a backend server over the same link.
const MAX_AGE_PART: f64 = 0.5;

/// Confirmations that a slow gateway asks for within the maximum age.
const CONFIRMATIONS: u32 = 3;

/// Whether knowledge is too old to act on. `age` is the time since it was confirmed, `delay` the round-trip time
/// that the own VM adds to calls, and `bound` the time within which a change must be in force.
///
/// ```
/// use std::time::Duration;
/// use fulmarproxy::coordination::configuration::staleness;
/// let ms = Duration::from_millis;
/// let is_stale = |age, delay| staleness::is_stale(ms(age), ms(delay), ms(3000));
/// assert!(!is_stale(2500, 5), "watches of a gateway in time would have brought a change");
/// assert!(!is_stale(1000, 400));
/// assert!(is_stale(1200, 400));
/// assert!(is_stale(0, 2000), "each request would be late itself");
/// ```
pub fn is_stale(age: Duration, delay: Duration, bound: Duration) -> bool {
    delay >= own_delay::SLOW && age.saturating_add(delay) > bound.mul_f64(MAX_AGE_PART)
}

/// Whether a change that this gateway does not have is known for too long. `behind` is the time since it is known,
/// without any by which the gateway itself delays the call that brings it; `bound` the time within which it must be in
/// force. `has_contact` says whether the store answers this gateway or another one that reports to it.
///
/// ```
/// use std::time::Duration;
/// use fulmarproxy::coordination::configuration::staleness;
/// let ms = Duration::from_millis;
/// let is_behind = |behind, has_contact| staleness::is_behind(ms(behind), has_contact, ms(3000));
/// assert!(!is_behind(900, true), "it is on its way");
/// assert!(is_behind(1600, true));
/// assert!(!is_behind(1600, false), "the store is down");
/// ```
pub fn is_behind(behind: Duration, has_contact: bool, bound: Duration) -> bool {
    has_contact && behind > bound.mul_f64(MAX_AGE_PART)
}

/// Time between two confirmations for which a gateway asks while its own VM is slow.
///
/// ```
/// use std::time::Duration;
/// use fulmarproxy::coordination::configuration::staleness;
/// let interval = staleness::confirmation_interval(Duration::from_secs(3));
/// assert_eq!(interval, Duration::from_millis(500));
/// ```
pub fn confirmation_interval(bound: Duration) -> Duration {
    bound.mul_f64(MAX_AGE_PART) / CONFIRMATIONS
}
