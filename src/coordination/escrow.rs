//! A holder's tokens: what it was granted, has reserved and has spent, by budget.
//!
//! Lock order: `covered`, then `accounts`, then one account.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock},
};

use crate::{
    coordination::covered,
    state::{holder_record, ledger, member, name, receipt},
};

/// Tokens of one budget in the hands of this holder.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// Share in the ledger, as last read or written.
    pub share: ledger::Share,
    /// Cumulative figures that go into the holder's record.
    pub figures: holder_record::HolderBudget,
    /// Tokens set aside for attempts in flight.
    pub reserved: u64,
}

impl Account {
    /// Tokens that this holder may spend in all, over its life.
    pub fn held(&self) -> u64 {
        let received: u64 = self.figures.received.values().sum();
        let given: u64 = self.figures.given.values().sum();
        (self.share.granted + received).saturating_sub(given)
    }

    /// Tokens neither spent nor reserved.
    pub fn available(&self) -> u64 {
        self.held()
            .saturating_sub(self.figures.spent)
            .saturating_sub(self.reserved)
    }
}

/// Why a reservation failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Short {
    /// Tokens that were available.
    pub available: u64,
    /// Tokens that other attempts have reserved.
    pub reserved: u64,
}

type Accounts = HashMap<name::Name, Arc<Mutex<Account>>>;

/// All tokens in the hands of one holder.
#[derive(Debug, Default)]
pub struct Escrow {
    covered: Mutex<BTreeMap<member::Incarnation, covered::Covered>>,
    accounts: RwLock<Accounts>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Escrow {
    fn account(&self, budget: &str) -> Arc<Mutex<Account>> {
        let accounts = self.accounts.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(account) = accounts.get(budget) {
            return account.clone();
        }
        drop(accounts);
        let mut accounts = self
            .accounts
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        accounts.entry(budget.into()).or_default().clone()
    }

    /// Changes one account under its lock.
    ///
    /// ```
    /// let escrow = fulmarproxy::coordination::escrow::Escrow::default();
    /// escrow.with("desk", |account| account.share.granted = 5);
    /// assert_eq!(escrow.with("desk", |account| account.available()), 5);
    /// ```
    pub fn with<T>(&self, budget: &str, change: impl FnOnce(&mut Account) -> T) -> T {
        let account = self.account(budget);
        change(&mut lock(&account))
    }

    /// Sets tokens aside for an attempt.
    ///
    /// # Errors
    ///
    /// [`Short`] tells what there is when it is not enough.
    ///
    /// ```
    /// let escrow = fulmarproxy::coordination::escrow::Escrow::default();
    /// assert!(escrow.reserve("desk", 1).is_err());
    /// escrow.with("desk", |account| account.share.granted = 5);
    /// assert!(escrow.reserve("desk", 5).is_ok());
    /// ```
    pub fn reserve(&self, budget: &str, tokens: u64) -> Result<(), Short> {
        self.with(budget, |account| {
            let available = account.available();
            if available < tokens {
                let reserved = account.reserved;
                return Err(Short {
                    available,
                    reserved,
                });
            }
            account.reserved += tokens;
            Ok(())
        })
    }

    /// Gives back tokens of an attempt that certainly did not run.
    ///
    /// ```
    /// let escrow = fulmarproxy::coordination::escrow::Escrow::default();
    /// escrow.with("desk", |account| account.share.granted = 5);
    /// escrow.reserve("desk", 5).unwrap();
    /// escrow.release("desk", 5);
    /// assert!(escrow.reserve("desk", 5).is_ok());
    /// ```
    pub fn release(&self, budget: &str, tokens: u64) {
        self.with(budget, |account| {
            account.reserved = account.reserved.saturating_sub(tokens);
        });
    }

    /// Counts a receipt once; returns false when it was counted before.
    ///
    /// The caller releases the attempt's reservation itself.
    pub fn settle(&self, agent: member::Incarnation, receipt: &receipt::Receipt) -> bool {
        let mut covered = lock(&self.covered);
        if !covered.entry(agent).or_default().insert(receipt.number) {
            return false;
        }
        self.with(&receipt.budget, |account| {
            account.figures.spent += receipt.tokens;
        });
        true
    }

    /// Counts an attempt whose agent is gone for good as spent in full.
    pub fn write_off(&self, budget: &str, tokens: u64) {
        self.with(budget, |account| {
            account.reserved = account.reserved.saturating_sub(tokens);
            account.figures.spent += tokens;
        });
    }

    /// Highest receipt number of an agent up to which every receipt was counted.
    pub fn covered_through(&self, agent: member::Incarnation) -> u64 {
        lock(&self.covered)
            .get(&agent)
            .map_or(0, covered::Covered::through)
    }

    /// Takes a consistent copy of everything that goes into the holder's record.
    pub fn snapshot(&self, member: &member::Member, seq: u64) -> holder_record::HolderRecord {
        let covered = lock(&self.covered);
        let accounts = self.accounts.read().unwrap_or_else(PoisonError::into_inner);
        let figures = accounts.iter().map(|(budget, account)| {
            let account = lock(account);
            (budget.clone(), account.figures.clone())
        });
        let budgets = figures.collect();
        let receipts = covered.iter().map(|(agent, covered)| {
            let receipts = holder_record::CoveredReceipts {
                through: covered.through(),
                beyond: covered.beyond().iter().copied().collect(),
            };
            (*agent, receipts)
        });
        holder_record::HolderRecord {
            member: member.clone(),
            seq,
            state: holder_record::HolderState::Live,
            budgets,
            covered: receipts.collect(),
        }
    }
}
