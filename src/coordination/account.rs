//! Tokens of one budget in the hands of one holder.

use std::time::Duration;

use crate::{
    coordination::demand,
    state::{holder_record, ledger},
};

/// Time for which a source that had nothing is not asked again.
const EMPTY_MARK_TIME: Duration = Duration::from_millis(500);

/// A source of tokens that had nothing to give.
#[derive(Clone, Copy, Debug, Default)]
pub struct EmptyMark {
    version: u64,
    until: Duration,
}

impl EmptyMark {
    /// Notes that the source had nothing under a configuration version.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut mark = fulmarproxy::coordination::account::EmptyMark::default();
    /// mark.set(3, Duration::ZERO);
    /// assert!(mark.is_current(3, Duration::from_millis(1)));
    /// assert!(!mark.is_current(4, Duration::from_millis(1)));
    /// assert!(!mark.is_current(3, Duration::from_secs(1)));
    /// ```
    pub fn set(&mut self, version: u64, now: Duration) {
        self.version = version;
        self.until = now + EMPTY_MARK_TIME;
    }

    /// Whether the source need not be asked again yet.
    pub fn is_current(&self, version: u64, now: Duration) -> bool {
        version == self.version && now < self.until
    }
}

/// Share in the ledger, cumulative figures and reservations of one budget.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// Share in the ledger, as last read or written.
    pub share: ledger::Share,
    /// Cumulative figures that go into the holder's record.
    pub figures: holder_record::HolderBudget,
    /// Tokens set aside for attempts in flight.
    pub reserved: u64,
    /// Tokens on their way back to the ledger.
    pub withheld: u64,
    /// Tokens asked for since the demand was last updated.
    pub requested: u64,
    /// Free tokens of the ledger, as last read.
    pub free: u64,
    /// Tokens free or in the hands of others, as last read.
    pub elsewhere: u64,
    /// The ledger, after it had nothing free.
    pub ledger_empty: EmptyMark,
    /// The peers, after they had nothing available.
    pub peers_empty: EmptyMark,
    /// Rate at which tokens are asked for.
    pub demand: demand::Demand,
}

impl Account {
    /// Tokens that this holder may spend in all, over its life.
    pub fn held(&self) -> u64 {
        let received: u64 = self.figures.received.values().sum();
        let given: u64 = self.figures.given.values().sum();
        (self.share.granted + received).saturating_sub(given)
    }

    /// Tokens neither spent, reserved nor on their way back.
    pub fn available(&self) -> u64 {
        self.held()
            .saturating_sub(self.figures.spent)
            .saturating_sub(self.reserved)
            .saturating_sub(self.withheld)
    }

    /// Sets up to `tokens` aside for a return, before the ledger is told; returns the tokens.
    ///
    /// Only granted tokens can go back to the ledger; those received from other holders cannot.
    ///
    /// ```
    /// let mut account = fulmarproxy::coordination::account::Account::default();
    /// account.share.granted = 5;
    /// assert_eq!(account.withhold(3), 3);
    /// assert_eq!(account.available(), 2);
    /// ```
    pub fn withhold(&mut self, tokens: u64) -> u64 {
        let granted = self.share.granted.saturating_sub(self.withheld);
        let tokens = tokens.min(self.available()).min(granted);
        self.withheld += tokens;
        tokens
    }

    /// Takes over the share that a read or a confirmed write of the ledger showed.
    ///
    /// A changed number proves that a write took effect, and that none sent before it still can:
    /// all of them expected an older revision of the bucket.
    ///
    /// ```
    /// use fulmarproxy::{coordination::account, state::ledger};
    /// let mut account = account::Account::default();
    /// account.update_share(ledger::Share { granted: 5, seq: 1 });
    /// account.withhold(3);
    /// account.update_share(ledger::Share { granted: 5, seq: 1 });
    /// assert_eq!(account.available(), 2);
    /// account.update_share(ledger::Share { granted: 2, seq: 2 });
    /// assert_eq!(account.available(), 2);
    /// ```
    pub fn update_share(&mut self, share: ledger::Share) {
        if share.seq > self.share.seq {
            self.share = share;
            self.withheld = 0;
        }
    }
}
