//! A list whose changes become visible after a delay.

use std::time::{Duration, Instant};

/// Versions of a list with the time from which each is visible, in the order in which they were
/// set.
#[derive(Debug)]
pub struct DelayedList<T> {
    versions: Vec<(Instant, Vec<T>)>,
}

impl<T> Default for DelayedList<T> {
    fn default() -> Self {
        Self {
            versions: Vec::new(),
        }
    }
}

impl<T> DelayedList<T> {
    /// Replaces the list; the new one becomes visible after `lag`.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut list = fulmarproxy::standin::delayed_list::DelayedList::default();
    /// list.set(vec![1], Duration::ZERO);
    /// list.set(vec![2], Duration::from_secs(3600));
    /// assert_eq!(list.visible(), [1]);
    /// ```
    pub fn set(&mut self, list: Vec<T>, lag: Duration) {
        self.versions.push((Instant::now() + lag, list));
    }

    /// The newest visible version; drops the versions before it.
    pub fn visible(&mut self) -> &[T] {
        let now = Instant::now();
        let newest = self.versions.iter().rposition(|version| version.0 <= now);
        match newest {
            Some(newest) => {
                self.versions.drain(..newest);
                &self.versions[0].1
            }
            None => &[],
        }
    }
}
