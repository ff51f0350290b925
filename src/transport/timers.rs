//! The timer service: one clock for the process, and ticks that parts subscribe to.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// Time since the process began.
pub type Now = Duration;

/// A clock that parts read and subscribe to.
#[derive(Clone, Debug)]
pub struct Timers {
    start: Arc<Instant>,
}

impl Default for Timers {
    fn default() -> Self {
        Self {
            start: Arc::new(Instant::now()),
        }
    }
}

impl Timers {
    /// Time since the clock began.
    ///
    /// ```
    /// let timers = fulmarproxy::transport::timers::Timers::default();
    /// assert!(timers.now() <= timers.now());
    /// ```
    pub fn now(&self) -> Now {
        self.start.elapsed()
    }

    /// Sends a tick about every `period`, spread by up to a tenth so that members do not
    /// act in step; a tick that nobody has taken yet is not sent twice.
    ///
    /// ```
    /// use std::time::Duration;
    /// let timers = fulmarproxy::transport::timers::Timers::default();
    /// let ticks = timers.every(Duration::from_millis(1));
    /// assert!(smol::block_on(ticks.recv()).is_ok());
    /// ```
    pub fn every(&self, period: Duration) -> async_channel::Receiver<Now> {
        let (tx, rx) = async_channel::bounded(1);
        let timers = self.clone();
        smol::spawn(async move {
            loop {
                smol::Timer::after(jittered(period)).await;
                if let Err(async_channel::TrySendError::Closed(_)) = tx.try_send(timers.now()) {
                    return;
                }
            }
        })
        .detach();
        rx
    }

    /// Waits for `delay`.
    pub async fn sleep(&self, delay: Duration) {
        smol::Timer::after(delay).await;
    }
}

fn jittered(period: Duration) -> Duration {
    period.mul_f64(0.95 + 0.1 * fastrand::f64())
}

/// Runs a future for at most `limit`; returns `None` when the limit passed first.
///
/// ```
/// use std::time::Duration;
/// use fulmarproxy::transport::timers;
/// let done = timers::within(Duration::from_secs(1), async { 7 });
/// assert_eq!(smol::block_on(done), Some(7));
/// ```
pub async fn within<T>(limit: Duration, work: impl Future<Output = T>) -> Option<T> {
    smol::future::or(async { Some(work.await) }, async {
        smol::Timer::after(limit).await;
        None
    })
    .await
}
