//! What a part needs of its process: a clock, tasks and random numbers.

use std::{sync::Arc, time::Duration};

use futures::future::BoxFuture;

use crate::transport::timers;

const JITTER: f64 = 0.1;

/// Clock, tasks and random numbers of a process.
#[derive(Clone)]
pub struct Runtime {
    /// Clock.
    pub timers: timers::Timers,
    /// Starts a task that runs to its end.
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
    /// Starts a task that runs to its end.
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

    /// Makes a source of random numbers.
    ///
    /// ```
    /// let runtime = fulmarproxy::transport::runtime::Runtime::default();
    /// assert!(runtime.rng().u8(..10) < 10);
    /// ```
    pub fn rng(&self) -> fastrand::Rng {
        fastrand::Rng::with_seed((self.random)())
    }

    /// Spreads a period by up to a tenth, so that members do not act in step.
    ///
    /// ```
    /// use std::time::Duration;
    /// let runtime = fulmarproxy::transport::runtime::Runtime::default();
    /// assert!(runtime.with_jitter(Duration::from_secs(10)) < Duration::from_secs(11));
    /// ```
    pub fn with_jitter(&self, period: Duration) -> Duration {
        jittered(period, &mut self.rng())
    }

    /// Sends a tick about every `period`, spread by up to a tenth so that members do not act in
    /// step; a tick that nobody has taken yet is not sent twice.
    ///
    /// ```
    /// use std::time::Duration;
    /// let runtime = fulmarproxy::transport::runtime::Runtime::default();
    /// let ticks = runtime.every(Duration::from_millis(1));
    /// assert!(smol::block_on(ticks.recv()).is_ok());
    /// ```
    pub fn every(&self, period: Duration) -> async_channel::Receiver<timers::Now> {
        let (tx, rx) = async_channel::bounded(1);
        let runtime = self.clone();
        self.spawn(async move {
            let mut rng = runtime.rng();
            loop {
                runtime.timers.sleep(jittered(period, &mut rng)).await;
                let sent = tx.try_send(runtime.timers.now());
                if let Err(async_channel::TrySendError::Closed(_)) = sent {
                    return;
                }
            }
        });
        rx
    }
}

fn jittered(period: Duration, rng: &mut fastrand::Rng) -> Duration {
    period.mul_f64(1.0 + JITTER * (rng.f64() - 0.5))
}
