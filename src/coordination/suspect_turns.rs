//! Suspect requests that a gateway is running, and which of them must end before another is sent.

use crate::coordination::suspect_keys;

/// When a request may be sent that was running at crashes before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// At once.
    Now,
    /// When one has ended that this gateway is running.
    Later,
    /// Only by the gateway at which the suspects of the service run alone.
    Elsewhere,
    /// As [`Self::Elsewhere`], and no other request explains the crashes: the servers ended one after
    /// the other, each under the repeat that followed.
    Never,
}

/// A running request that was a suspect when it was sent.
#[derive(Clone, Copy, Debug)]
struct Running {
    /// Number of the service.
    service: u64,
    /// Key of the whole request.
    key: u64,
    /// Whether no other suspect of the service runs beside it.
    is_alone: bool,
}

/// Suspect requests that are running.
#[derive(Debug, Default)]
pub struct Turns {
    running: Vec<Running>,
}

impl Turns {
    /// Whether a request must wait: for one with the same key or, when it must run alone, for another
    /// one of its service that does.
    ///
    /// ```
    /// use fulmarproxy::coordination::{suspect_keys, suspect_turns};
    /// let keys = |whole| suspect_keys::Keys::new("desk", [], whole);
    /// let mut turns = suspect_turns::Turns::default();
    /// turns.begin(&keys(7), true);
    /// assert!(turns.must_wait(&keys(7), false) && turns.must_wait(&keys(8), true));
    /// assert!(!turns.must_wait(&keys(8), false));
    /// turns.end(&keys(7));
    /// assert!(!turns.must_wait(&keys(8), true));
    /// ```
    pub fn must_wait(&self, keys: &suspect_keys::Keys, runs_alone: bool) -> bool {
        self.running.iter().any(|it| {
            let is_beside = runs_alone && it.is_alone && it.service == keys.service();
            it.key == keys.whole() || is_beside
        })
    }

    /// Records that a request is sent.
    pub fn begin(&mut self, keys: &suspect_keys::Keys, is_alone: bool) {
        self.running.push(Running {
            service: keys.service(),
            key: keys.whole(),
            is_alone,
        });
    }

    /// Records that a request has ended.
    pub fn end(&mut self, keys: &suspect_keys::Keys) {
        let mut running = self.running.iter();
        if let Some(at) = running.position(|it| it.key == keys.whole()) {
            self.running.swap_remove(at);
        }
    }

    /// Whether a request is running alone.
    pub fn is_alone(&self, keys: &suspect_keys::Keys) -> bool {
        let mut running = self.running.iter();
        running.any(|it| it.key == keys.whole() && it.is_alone)
    }
}
