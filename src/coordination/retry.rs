//! Decides whether a failed attempt may be retried.

use std::{collections::BTreeMap, time::Duration};

use crate::{code::Code, state::name};

/// Maximum number of attempts for one request.
pub const MAX_ATTEMPTS: u32 = 4;

/// Retries that each request adds to the retry budget of its pool.
const RETRIES_PER_REQUEST: f64 = 0.2;

/// Maximum number of retries that a pool's retry budget holds.
const MAX_SAVED_RETRIES: f64 = 20.0;

const BASE_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// The facts about a failed attempt that decide whether it may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Result code.
    pub code: Code,
    /// Whether the backend server may have run the request.
    pub ran: bool,
    /// Whether the attempt is known to have ended, so that a retry cannot run beside it.
    pub has_ended: bool,
}

/// Whether another attempt cannot break a promise made to the caller.
///
/// After a failure or crash of the backend server, the request must be idempotent and the attempt
/// must have ended; after any other retryable failure, the request must not have run.
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

/// Whether a result code may lead to a retry at all.
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

/// Delay before an attempt: exponential backoff with full jitter.
///
/// ```
/// use fulmarproxy::coordination::retry;
/// let mut rng = fastrand::Rng::with_seed(1);
/// assert!(retry::backoff(1, &mut rng).as_millis() <= 20);
/// ```
pub fn backoff(attempt: u32, rng: &mut fastrand::Rng) -> Duration {
    let doubled = BASE_BACKOFF * 2u32.pow(attempt.saturating_sub(1).min(10));
    doubled.min(MAX_BACKOFF).mul_f64(rng.f64())
}

/// Retry budgets by pool. They keep retries of failed requests from multiplying the load.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    saved: BTreeMap<name::Name, f64>,
}

impl RetryBudgets {
    /// Counts a request of a pool, which adds to the pool's retry budget.
    ///
    /// ```
    /// let mut budgets = fulmarproxy::coordination::retry::RetryBudgets::default();
    /// budgets.count_request(&"desk".into());
    /// assert!(budgets.take_retry(&"desk".into()));
    /// ```
    pub fn count_request(&mut self, pool: &name::Name) {
        let saved = self.saved.entry(pool.clone()).or_insert(MAX_SAVED_RETRIES);
        *saved = (*saved + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget of a pool; returns false when none is left.
    pub fn take_retry(&mut self, pool: &name::Name) -> bool {
        let saved = self.saved.entry(pool.clone()).or_insert(MAX_SAVED_RETRIES);
        let left = *saved - 1.0;
        if left < 0.0 {
            return false;
        }
        *saved = left;
        true
    }
}
