//! Which part of the bandwidth of its VM's link a process uses.
//!
//! Handles VMs with slow links. Such a link is full long before the processor is busy: on 10 Mbit/s, 200
//! requests a second with prompts and streams of events fill it.

use std::{collections::VecDeque, time::Duration};

/// Time over which the use is averaged; long enough to cover the bodies and responses of several requests.
const WINDOW: Duration = Duration::from_secs(1);

/// Use of the link from which on the load counts as 1. Responses queue from about two thirds of the
/// bandwidth on, and headers of packets, which are not counted, take about a twentieth.
const FULL_USE: f64 = 0.6;

/// Bytes exchanged since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sample {
    /// Bytes received.
    pub received: u64,
    /// Bytes sent.
    pub sent: u64,
}

/// Bytes per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rates {
    /// Received.
    pub received: f64,
    /// Sent.
    pub sent: f64,
}

impl Rates {
    /// The rate of the direction that is used more.
    pub fn max(&self) -> f64 {
        self.received.max(self.sent)
    }
}

/// Recent use of the link.
#[derive(Debug, Default)]
pub struct LinkUse {
    samples: VecDeque<(Duration, Sample)>,
}

impl LinkUse {
    /// Records the bytes exchanged until `now`.
    pub fn record(&mut self, sample: Sample, now: Duration) {
        self.samples.push_back((now, sample));
        // One sample that is older than the window is kept, so that the window is always covered.
        while self
            .samples
            .get(1)
            .is_some_and(|(at, _)| *at + WINDOW <= now)
        {
            self.samples.pop_front();
        }
    }

    /// Bytes per second in each direction.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::overload::link_use::{LinkUse, Rates, Sample};
    /// let mut link = LinkUse::default();
    /// assert_eq!(link.rates(), Rates::default());
    /// for tick in 0..20 {
    ///     let sample = Sample { received: 10_000 * tick, sent: 50_000 * tick };
    ///     link.record(sample, Duration::from_millis(100 * tick));
    /// }
    /// assert_eq!(link.rates(), Rates { received: 100_000.0, sent: 500_000.0 });
    /// // Relative to the load at which the link counts as fully used, 60 % of 1.25 MB/s.
    /// assert!((link.load(1_250_000) - 0.667).abs() < 0.001);
    /// ```
    pub fn rates(&self) -> Rates {
        let (Some((start, first)), Some((end, last))) = (self.samples.front(), self.samples.back())
        else {
            return Rates::default();
        };
        let elapsed = end.saturating_sub(*start).as_secs_f64();
        if elapsed <= 0.0 {
            return Rates::default();
        }
        let rate = |first: u64, last: u64| last.saturating_sub(first) as f64 / elapsed;
        Rates {
            received: rate(first.received, last.received),
            sent: rate(first.sent, last.sent),
        }
    }

    /// Load of a link that carries this many bytes per second: 1 when it counts as fully used.
    pub fn load(&self, bandwidth: u64) -> f64 {
        self.rates().max() / (bandwidth.max(1) as f64 * FULL_USE)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against memory that grows with time, and against a rate that a long pause distorts.
    #[test]
    fn samples_are_bounded_and_a_pause_counts_in_full() {
        let mut link = LinkUse::default();
        for tick in 0..1000_u64 {
            let sample = Sample {
                received: tick,
                sent: 0,
            };
            link.record(sample, Duration::from_millis(100 * tick));
        }
        assert!(link.samples.len() <= 12);
        let sample = Sample {
            received: 1_000_999,
            sent: 0,
        };
        link.record(sample, Duration::from_secs(200));
        let rate = link.rates().max();
        assert!(rate < 10_000.0, "{rate}");
    }
}
