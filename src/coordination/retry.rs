//! When an attempt may be followed by another one.

use std::{collections::BTreeMap, time::Duration};

use crate::{code::Code, state::name};

/// Most attempts of one request.
pub const MAX_ATTEMPTS: u32 = 4;

/// Part of a retry that each request adds to the retry budget of its pool.
const PART_PER_REQUEST: f64 = 0.2;

/// Most retries that a pool's budget holds.
const RETRIES_SAVED: f64 = 20.0;

const FIRST_BACKOFF: Duration = Duration::from_millis(20);
const LONGEST_BACKOFF: Duration = Duration::from_secs(1);

/// How the last attempt ended, as far as another one depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Result code.
    pub code: Code,
    /// Whether the attempt may have run.
    pub ran: bool,
    /// Whether the attempt is known to be over.
    pub has_ended: bool,
}

/// Whether another attempt keeps every promise made to the caller.
///
/// ```
/// use fulmarproxy::{code::Code, coordination::retry};
/// let failure = retry::Failure { code: Code::BackendFailed, ran: true, has_ended: true };
/// assert!(retry::is_safe(failure, true));
/// assert!(!retry::is_safe(failure, false));
/// ```
pub fn is_safe(failure: Failure, idempotent: bool) -> bool {
    if !is_retryable(failure.code) {
        return false;
    }
    match failure.code {
        Code::BackendFailed | Code::BackendCrashed => idempotent && failure.has_ended,
        _ => !failure.ran,
    }
}

/// Whether a code is ever a reason for another attempt.
///
/// ```
/// use fulmarproxy::{code::Code, coordination::retry};
/// assert!(retry::is_retryable(Code::Draining));
/// assert!(!retry::is_retryable(Code::BudgetSpent));
/// ```
pub fn is_retryable(code: Code) -> bool {
    matches!(
        code,
        Code::Draining
            | Code::Overloaded
            | Code::NoBackend
            | Code::WrongAgent
            | Code::StaleConfig
            | Code::BackendRefused
            | Code::BackendFailed
            | Code::BackendCrashed
    )
}

/// Wait before an attempt: doubles each time, with full jitter.
///
/// ```
/// use fulmarproxy::coordination::retry;
/// let mut rng = fastrand::Rng::with_seed(1);
/// assert!(retry::backoff(1, &mut rng).as_millis() <= 20);
/// ```
pub fn backoff(attempt: u32, rng: &mut fastrand::Rng) -> Duration {
    let doubled = FIRST_BACKOFF * 2u32.pow(attempt.saturating_sub(1).min(10));
    doubled.min(LONGEST_BACKOFF).mul_f64(rng.f64())
}

/// Retries that each pool may still make, so that failures cannot multiply the load.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    saved: BTreeMap<name::Name, f64>,
}

impl RetryBudgets {
    /// Counts a request of a pool.
    ///
    /// ```
    /// let mut budgets = fulmarproxy::coordination::retry::RetryBudgets::default();
    /// budgets.count_request(&"desk".into());
    /// assert!(budgets.take_retry(&"desk".into()));
    /// ```
    pub fn count_request(&mut self, pool: &name::Name) {
        let saved = self.saved.entry(pool.clone()).or_insert(RETRIES_SAVED);
        *saved = (*saved + PART_PER_REQUEST).min(RETRIES_SAVED);
    }

    /// Takes one retry; false when the pool has none left.
    pub fn take_retry(&mut self, pool: &name::Name) -> bool {
        let saved = self.saved.entry(pool.clone()).or_insert(RETRIES_SAVED);
        let left = *saved - 1.0;
        if left < 0.0 {
            return false;
        }
        *saved = left;
        true
    }
}
