//! The clock of a process, as function values that tests can replace.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures::future::BoxFuture;

/// A point in time, as the time since the clock was started.
pub type Now = Duration;

/// A monotonic clock that is read and waited on.
#[derive(Clone)]
pub struct Timers {
    /// Returns the current time.
    pub read: Arc<dyn Fn() -> Now + Send + Sync>,
    /// Waits for a delay.
    pub wait: Arc<dyn Fn(Duration) -> BoxFuture<'static, ()> + Send + Sync>,
}

impl Default for Timers {
    fn default() -> Self {
        let start = Instant::now();
        Self {
            read: Arc::new(move || start.elapsed()),
            wait: Arc::new(|delay| {
                Box::pin(async move {
                    smol::Timer::after(delay).await;
                })
            }),
        }
    }
}

impl Timers {
    /// Returns the time since the clock was started.
    ///
    /// ```
    /// let timers = fulmarproxy::transport::timers::Timers::default();
    /// assert!(timers.now() <= timers.now());
    /// ```
    pub fn now(&self) -> Now {
        (self.read)()
    }

    /// Waits for `delay`.
    pub async fn sleep(&self, delay: Duration) {
        (self.wait)(delay).await;
    }

    /// Runs a future for at most `limit`; drops it and returns `None` when the limit passes first.
    ///
    /// ```
    /// use std::time::Duration;
    /// let timers = fulmarproxy::transport::timers::Timers::default();
    /// let done = timers.within(Duration::from_secs(1), async { 7 });
    /// assert_eq!(smol::block_on(done), Some(7));
    /// ```
    pub async fn within<T>(&self, limit: Duration, work: impl Future<Output = T>) -> Option<T> {
        smol::future::or(async { Some(work.await) }, async {
            self.sleep(limit).await;
            None
        })
        .await
    }
}
