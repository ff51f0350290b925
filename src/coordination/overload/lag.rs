//! How late the timers of a process fire, its lag.
//!
//! Handles processes that have less processor time than they need, however the platform limits it: each
//! timer then fires after everything that became ready before it. Handles frozen VMs, whose first tick
//! after the freeze is late although the process has enough processor time.

use std::{collections::VecDeque, time::Duration};

/// Interval of the ticks that are measured. Ten wake-ups a second cost about 0.1 ms of processor time.
pub const TICK: Duration = Duration::from_millis(100);

/// Ticks of which the median is taken, so that two late ones alone change nothing. A VM that gets its
/// processor time in slices is late at some ticks by up to the length of a pause between slices (90 ms).
const TICKS: usize = 5;

/// A tick that is at least this late after one in time shows a freeze. Lag that comes from work grows over
/// several ticks.
const MIN_FREEZE: Duration = Duration::from_millis(250);

/// Ratio of a tick's lateness to that of the tick before from which on it shows a freeze.
const FREEZE_RATIO: u32 = 4;

/// Longest time after a freeze in which ticks do not count, because the process handles what arrived
/// meanwhile.
const MAX_RECOVERY: Duration = Duration::from_secs(3);

/// Ticks that are kept to judge timeouts by. They cover the longest time limit of a call, 0.8 s.
const MAX_KEPT: usize = 16;

/// Lateness of the recent ticks.
#[derive(Debug, Default)]
pub struct Lag {
    recent: [Duration; TICKS],
    next: usize,
    /// Time and lateness of the last ticks, whether they count or not; the newest is the last.
    kept: VecDeque<(Duration, Duration)>,
    /// Time until which ticks do not count, after a freeze.
    recovers_until: Duration,
}

impl Lag {
    /// Records a tick at `now` that came `late` after its time. Returns whether it shows a freeze.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::overload::lag;
    /// let mut lag = lag::Lag::default();
    /// let mut now = Duration::ZERO;
    /// for late in [0, 30, 30, 30, 0].map(Duration::from_millis) {
    ///     now += lag::TICK + late;
    ///     assert!(!lag.record(late, now));
    /// }
    /// assert_eq!(lag.sustained(), Duration::from_millis(30));
    /// // A freeze of 2 s, and the work that it leaves.
    /// assert!(lag.record(Duration::from_secs(2), now + Duration::from_secs(2)));
    /// lag.record(Duration::from_millis(900), now + Duration::from_secs(3));
    /// assert_eq!(lag.sustained(), Duration::from_millis(30));
    /// ```
    pub fn record(&mut self, late: Duration, now: Duration) -> bool {
        let was = self.kept.back().map_or(Duration::ZERO, |(_, late)| *late);
        if self.kept.len() == MAX_KEPT {
            self.kept.pop_front();
        }
        self.kept.push_back((now, late));
        if late >= MIN_FREEZE && late / FREEZE_RATIO > was && now >= self.recovers_until {
            self.recovers_until = now + late.min(MAX_RECOVERY);
            return true;
        }
        if now >= self.recovers_until {
            self.recent[self.next] = late;
            self.next = (self.next + 1) % TICKS;
        }
        false
    }

    /// Lag of the process: the median lateness of the recent ticks, without freezes.
    pub fn sustained(&self) -> Duration {
        let mut sorted = self.recent;
        sorted.sort_unstable();
        sorted[TICKS / 2]
    }

    /// How late the process was at worst since `start`, freezes included. The next tick, which may be
    /// overdue, counts too.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::overload::lag;
    /// let mut lag = lag::Lag::default();
    /// let second = Duration::from_secs(1);
    /// lag.record(Duration::from_millis(70), second);
    /// assert_eq!(lag.worst_since(second, second), Duration::from_millis(70));
    /// let later = second + Duration::from_millis(100);
    /// assert_eq!(lag.worst_since(later, later), Duration::ZERO);
    /// assert_eq!(lag.worst_since(later, later + second), second);
    /// ```
    pub fn worst_since(&self, start: Duration, now: Duration) -> Duration {
        let last = self.kept.back().map_or(now, |(at, _)| *at);
        let overdue = now.saturating_sub(last + TICK);
        // A tick that ended after the start was late at least partly before it; that counts in full.
        let ended = self.kept.iter().filter(|(at, _)| *at >= start);
        ended.map(|(_, late)| *late).fold(overdue, Duration::max)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn millis(values: &[u64]) -> (Lag, Duration, u32) {
        let mut lag = Lag::default();
        let mut now = Duration::ZERO;
        let mut freezes = 0;
        for late in values.iter().map(|it| Duration::from_millis(*it)) {
            now += TICK + late;
            freezes += u32::from(lag.record(late, now));
        }
        (lag, now, freezes)
    }

    /// Guards against lag that is taken for a freeze for good, so that nothing is ever done about it.
    #[test]
    fn lag_that_lasts_counts_however_it_began() {
        let (lag, _, freezes) = millis(&[0, 0, 600, 600, 600, 600, 600, 600, 600]);
        assert_eq!((lag.sustained().as_millis(), freezes), (600, 1));
        let (lag, _, freezes) = millis(&[0, 100, 200, 300, 400, 500, 600, 700]);
        assert_eq!((lag.sustained().as_millis(), freezes), (500, 0));
    }

    /// Guards against refusals after a freeze, also while what it left is handled.
    #[test]
    fn a_freeze_and_the_work_that_it_leaves_do_not_count() {
        for freeze in [250, 1000, 3000, 60_000] {
            let (lag, _, freezes) = millis(&[0, 5, freeze, freeze.min(800) / 2, 100, 10, 0, 0]);
            assert!(lag.sustained() <= Duration::from_millis(10), "{freeze}");
            assert_eq!(freezes, 1);
        }
    }

    /// Guards against a VM that is frozen again and again and refuses requests in between.
    #[test]
    fn repeated_freezes_do_not_count() {
        let (lag, _, freezes) = millis(&[0, 900, 0, 0, 0, 0, 0, 0, 0, 0, 900, 0, 0, 0]);
        assert_eq!((lag.sustained(), freezes), (Duration::ZERO, 2));
    }
}
