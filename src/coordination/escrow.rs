//! A holder's tokens: what it was granted, has reserved and has spent, by budget.
//!
//! Lock order: `gate`, `agents`, one agent's receipts, `accounts`, one account. Reservations and
//! settlements share `gate` and `accounts`; only a snapshot excludes settlements, and only a
//! budget that is new to the holder excludes the rest.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock},
};

use crate::{
    coordination::{account, covered},
    state::{holder_record, member, name, receipt},
};

/// Why a reservation failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InsufficientTokens {
    /// Tokens that were available.
    pub available: u64,
    /// Tokens that other attempts have reserved.
    pub reserved: u64,
}

type Accounts = HashMap<name::Name, Arc<Mutex<account::Account>>>;

type Agents = BTreeMap<member::Incarnation, Arc<Mutex<covered::Covered>>>;

/// All tokens in the hands of one holder.
#[derive(Debug, Default)]
pub struct Escrow {
    gate: RwLock<()>,
    agents: RwLock<Agents>,
    accounts: RwLock<Accounts>,
    used: Mutex<BTreeSet<member::Incarnation>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Escrow {
    fn account(&self, budget: &str) -> Arc<Mutex<account::Account>> {
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
    /// escrow.with_account("desk", |account| account.share.granted = 5);
    /// assert_eq!(escrow.with_account("desk", |account| account.available()), 5);
    /// ```
    pub fn with_account<T>(
        &self,
        budget: &str,
        change: impl FnOnce(&mut account::Account) -> T,
    ) -> T {
        let account = self.account(budget);
        change(&mut lock(&account))
    }

    /// Sets tokens aside for an attempt.
    ///
    /// # Errors
    ///
    /// [`InsufficientTokens`] tells what there is when it is not enough.
    ///
    /// ```
    /// let escrow = fulmarproxy::coordination::escrow::Escrow::default();
    /// assert!(escrow.reserve("desk", 1).is_err());
    /// escrow.with_account("desk", |account| account.share.granted = 5);
    /// assert!(escrow.reserve("desk", 5).is_ok());
    /// ```
    pub fn reserve(&self, budget: &str, tokens: u64) -> Result<(), InsufficientTokens> {
        self.with_account(budget, |account| {
            let available = account.available();
            if available < tokens {
                let reserved = account.reserved;
                return Err(InsufficientTokens {
                    available,
                    reserved,
                });
            }
            account.reserved += tokens;
            account.requested += tokens;
            Ok(())
        })
    }

    /// Gives back tokens of an attempt that certainly did not run.
    ///
    /// ```
    /// let escrow = fulmarproxy::coordination::escrow::Escrow::default();
    /// escrow.with_account("desk", |account| account.share.granted = 5);
    /// escrow.reserve("desk", 5).unwrap();
    /// escrow.release("desk", 5);
    /// assert!(escrow.reserve("desk", 5).is_ok());
    /// ```
    pub fn release(&self, budget: &str, tokens: u64) {
        self.with_account(budget, |account| {
            account.reserved = account.reserved.saturating_sub(tokens);
        });
    }

    /// Counts a receipt once; returns false when it was counted before.
    ///
    /// The caller releases the attempt's reservation itself.
    pub fn count_receipt(&self, agent: member::Incarnation, receipt: &receipt::Receipt) -> bool {
        let _gate = self.gate.read().unwrap_or_else(PoisonError::into_inner);
        if !lock(&self.agent(agent)).insert(receipt.number) {
            return false;
        }
        self.with_account(&receipt.budget, |account| {
            account.figures.spent += receipt.tokens;
        });
        true
    }

    fn agent(&self, agent: member::Incarnation) -> Arc<Mutex<covered::Covered>> {
        let agents = self.agents.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(covered) = agents.get(&agent) {
            return covered.clone();
        }
        drop(agents);
        let mut agents = self.agents.write().unwrap_or_else(PoisonError::into_inner);
        agents.entry(agent).or_default().clone()
    }

    /// Notes an agent in the record before work is given to it.
    pub fn record_agent(&self, agent: member::Incarnation) {
        lock(&self.used).insert(agent);
    }

    /// Drops an agent at which nothing is open, and to which no work is given any more.
    pub fn remove_agent(&self, agent: member::Incarnation) {
        lock(&self.used).remove(&agent);
    }

    /// Tokens reserved in all budgets together.
    pub fn reserved(&self) -> u64 {
        let accounts = self.accounts.read().unwrap_or_else(PoisonError::into_inner);
        accounts
            .values()
            .map(|account| lock(account).reserved)
            .sum()
    }

    /// Names of all budgets that this holder has dealt with, in order.
    pub fn budgets(&self) -> BTreeSet<name::Name> {
        let accounts = self.accounts.read().unwrap_or_else(PoisonError::into_inner);
        accounts.keys().cloned().collect()
    }

    /// Counts an attempt whose agent is gone for good as spent in full.
    pub fn write_off(&self, budget: &str, tokens: u64) {
        self.with_account(budget, |account| {
            account.reserved = account.reserved.saturating_sub(tokens);
            account.figures.spent += tokens;
        });
    }

    /// Highest receipt number of an agent up to which every receipt was counted.
    pub fn covered_through(&self, agent: member::Incarnation) -> u64 {
        let agents = self.agents.read().unwrap_or_else(PoisonError::into_inner);
        let covered = agents.get(&agent);
        covered.map_or(0, |covered| lock(covered).through())
    }

    /// Takes a consistent copy of everything that goes into the holder's record.
    pub fn snapshot(&self, member: &member::Member, seq: u64) -> holder_record::HolderRecord {
        let _gate = self.gate.write().unwrap_or_else(PoisonError::into_inner);
        let agents = self.agents.read().unwrap_or_else(PoisonError::into_inner);
        let receipts = agents.iter().map(|(agent, covered)| {
            let covered = lock(covered);
            let receipts = holder_record::CoveredReceipts {
                through: covered.through(),
                beyond: covered.beyond().iter().copied().collect(),
            };
            (*agent, receipts)
        });
        let covered = receipts.collect();
        let accounts = self.accounts.read().unwrap_or_else(PoisonError::into_inner);
        let figures = accounts.iter().map(|(budget, account)| {
            let account = lock(account);
            (budget.clone(), account.figures.clone())
        });
        holder_record::HolderRecord {
            member: member.clone(),
            seq,
            state: holder_record::HolderState::Live,
            budgets: figures.collect(),
            covered,
            agents: lock(&self.used).clone(),
        }
    }
}
