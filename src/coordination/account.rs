//! A holder's account for one budget: the tokens that a router holds, has reserved and has spent.

use std::time::Duration;

use crate::{
    coordination::demand,
    state::{holder_record, ledger},
};

/// Time for which a source that had no tokens is not asked again.
const EMPTY_SOURCE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Marks a source of tokens as empty for a short time, or until the configuration changes.
#[derive(Clone, Copy, Debug, Default)]
pub struct EmptyMark {
    version: u64,
    until: Duration,
}

impl EmptyMark {
    /// Marks the source as empty as of a configuration version.
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
        self.until = now + EMPTY_SOURCE_RETRY_DELAY;
    }

    /// Whether the mark is still in force, so that the source should not be asked again.
    pub fn is_current(&self, version: u64, now: Duration) -> bool {
        version == self.version && now < self.until
    }
}

/// A holder's share, cumulative figures and reservations in one budget.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// Share in the ledger, as last read or written.
    pub share: ledger::Share,
    /// Cumulative figures that are written to the holder's record.
    pub figures: holder_record::HolderBudget,
    /// Tokens reserved for attempts in flight.
    pub reserved: u64,
    /// Tokens that are being returned to the ledger.
    pub withheld: u64,
    /// Tokens requested since `demand` was last updated.
    pub requested: u64,
    /// Tokens of the budget that are free in the ledger, as last read.
    pub free: u64,
    /// Tokens of the budget that are free in the ledger or held by other holders, as last read.
    pub elsewhere: u64,
    /// Set when the ledger had no free tokens.
    pub ledger_empty: EmptyMark,
    /// Set when the peers had no tokens available.
    pub peers_empty: EmptyMark,
    /// Rate at which tokens are requested.
    pub demand: demand::Demand,
}

impl Account {
    /// Tokens that this holder may spend in total since it started.
    pub fn held(&self) -> u64 {
        let received: u64 = self.figures.received.values().sum();
        let given: u64 = self.figures.given.values().sum();
        (self.share.granted + received).saturating_sub(given)
    }

    /// Tokens that are neither spent, reserved nor being returned.
    pub fn available(&self) -> u64 {
        self.held()
            .saturating_sub(self.figures.spent)
            .saturating_sub(self.reserved)
            .saturating_sub(self.withheld)
    }

    /// Withholds up to `tokens` for a return, before the return is written to the ledger; returns
    /// the number of tokens withheld.
    ///
    /// Only tokens granted by the ledger can be returned to it, not those received from other
    /// holders.
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

    /// Updates the share from a read or a confirmed write of the ledger.
    ///
    /// A higher `seq` proves that a write of this holder took effect, and that no write sent
    /// before it still can, because each of those expects an older revision of the bucket. A
    /// return is then either part of the new share or void, so nothing stays withheld.
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
