//! The timer service: one clock for the process, and ticks that parts subscribe to.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures::future::BoxFuture;

/// Time since the clock began.
pub type Now = Duration;

/// A clock that parts read, wait on and subscribe to.
#[derive(Clone)]
pub struct Timers {
    /// Reads the clock.
    pub read: Arc<dyn Fn() -> Now + Send + Sync>,
    /// Waits.
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
    /// Time since the clock began.
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

    /// Runs a future for at most `limit`; returns `None` when the limit passed first.
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
