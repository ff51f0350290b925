//! Clock, tasks and random numbers, as function values that tests can replace.

use std::{sync::Arc, time::Duration};

use futures::future::BoxFuture;

use crate::transport::timers;

/// Width of the range from which an interval with jitter is drawn, as a fraction of the interval.
const JITTER_FRACTION: f64 = 0.1;

/// The clock, tasks and random numbers that a process uses.
#[derive(Clone)]
pub struct Runtime {
    /// Clock.
    pub timers: timers::Timers,
    /// Spawns a detached task.
    pub start: Arc<dyn Fn(BoxFuture<'static, ()>) + Send + Sync>,
    /// Returns a random number.
    pub random: Arc<dyn Fn() -> u64 + Send + Sync>,
}

impl Default for Runtime {
    fn default() -> Self {
        Self {
            timers: timers::Timers::default(),
            start: Arc::new(|task| smol::spawn(task).detach()),
            random: Arc::new(|| fastrand::u64(..)),
        }
    }
}

impl Runtime {
    /// Spawns a detached task: it runs to its end, and nobody waits for it.
    ///
    /// ```
    /// let runtime = fulmarproxy::transport::runtime::Runtime::default();
    /// let (tx, rx) = async_channel::bounded(1);
    /// runtime.spawn(async move { tx.send(7).await.unwrap() });
    /// assert_eq!(rx.recv_blocking(), Ok(7));
    /// ```
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        (self.start)(Box::pin(task));
    }

    /// Makes a random number generator with a random seed.
    ///
    /// ```
    /// let runtime = fulmarproxy::transport::runtime::Runtime::default();
    /// assert!(runtime.rng().u8(..10) < 10);
    /// ```
    pub fn rng(&self) -> fastrand::Rng {
        fastrand::Rng::with_seed((self.random)())
    }

    /// Varies an interval by up to 5 % either way, so that members do not act at the same time.
    ///
    /// ```
    /// use std::time::Duration;
    /// let runtime = fulmarproxy::transport::runtime::Runtime::default();
    /// assert!(runtime.with_jitter(Duration::from_secs(10)) < Duration::from_secs(11));
    /// ```
    pub fn with_jitter(&self, interval: Duration) -> Duration {
        apply_jitter(interval, &mut self.rng())
    }

    /// Sends the time about every `interval`, with jitter as in [`Self::with_jitter`]. A tick is
    /// left out while the one before has not been received; the task ends when the receiver is
    /// dropped.
    ///
    /// ```
    /// use std::time::Duration;
    /// let runtime = fulmarproxy::transport::runtime::Runtime::default();
    /// let ticks = runtime.every(Duration::from_millis(1));
    /// assert!(smol::block_on(ticks.recv()).is_ok());
    /// ```
    pub fn every(&self, interval: Duration) -> async_channel::Receiver<timers::Now> {
        let (tx, rx) = async_channel::bounded(1);
        let runtime = self.clone();
        self.spawn(async move {
            let mut rng = runtime.rng();
            loop {
                runtime.timers.sleep(apply_jitter(interval, &mut rng)).await;
                let sent = tx.try_send(runtime.timers.now());
                if let Err(async_channel::TrySendError::Closed(_)) = sent {
                    return;
                }
            }
        });
        rx
    }
}

fn apply_jitter(interval: Duration, rng: &mut fastrand::Rng) -> Duration {
    interval.mul_f64(1.0 + JITTER_FRACTION * (rng.f64() - 0.5))
}
