//! How many chunks of a set one call fetches.
//!
//! A call has a time limit, and neither the size of the chunks nor the bandwidth is known. A call that fails is
//! followed by smaller ones, so that some arrive in time over any link; calls that succeed by larger ones.

/// Part of the size of a failed call that the next one has.
const SHRINK: usize = 4;

/// Size of a call after one that succeeded, as a multiple.
const GROWTH: usize = 2;

/// Number of chunks that the next call fetches.
#[derive(Debug)]
pub struct FetchBatch {
    size: usize,
    max: usize,
}

impl FetchBatch {
    /// Starts with calls of `max` chunks, the most that one call may fetch.
    ///
    /// ```
    /// use fulmarproxy::coordination::configuration::fetch_batch::FetchBatch;
    /// let mut batch = FetchBatch::new(100);
    /// batch.record(false);
    /// assert_eq!(batch.size(), 25);
    /// (0..4).for_each(|_| batch.record(false));
    /// assert_eq!(batch.size(), 1);
    /// batch.record(true);
    /// assert_eq!(batch.size(), 2);
    /// ```
    pub fn new(max: usize) -> Self {
        Self { size: max, max }
    }

    /// Number of chunks that the next call fetches.
    pub fn size(&self) -> usize {
        self.size
    }

    /// Records whether a call brought its chunks.
    pub fn record(&mut self, succeeded: bool) {
        self.size = match succeeded {
            true => (self.size * GROWTH).min(self.max),
            false => (self.size / SHRINK).max(1),
        };
    }
}
