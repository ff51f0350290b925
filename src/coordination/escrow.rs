//! A holder's tokens by budget: what it was granted, has reserved and has spent.
//!
//! This is the escrow method for a shared counter: the ledger grants part of a budget's tokens to
//! each holder, and the holder reserves and spends them locally without a store call.
//!
//! Lock order: `snapshot_lock`, `agents`, one agent's receipts, `accounts`, one account.
//! Counting a receipt takes `snapshot_lock` for reading; reservations and receipts take `accounts`
//! for reading. Only a snapshot excludes the counting of receipts, and only the first use of a
//! budget, which adds its account, excludes all other uses of `accounts`.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock},
};

use crate::{
    coordination::{account, covered},
    state::{holder_record, member, name, receipt},
};

/// The error of a reservation that needs more tokens than are available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InsufficientTokens {
    /// Tokens that were available.
    pub available: u64,
    /// Tokens reserved by other attempts.
    pub reserved: u64,
}

type Accounts = HashMap<name::Name, Arc<Mutex<account::Account>>>;

type Agents = BTreeMap<member::Incarnation, Arc<Mutex<covered::CoveredSet>>>;

/// All accounts of one holder, and the receipts that it has counted.
#[derive(Debug, Default)]
pub struct Escrow {
    /// Held for reading while a receipt is counted, and for writing while a snapshot is taken, so
    /// that a snapshot contains a receipt's number and its tokens, or neither.
    snapshot_lock: RwLock<()>,
    /// Counted receipts by agent.
    agents: RwLock<Agents>,
    accounts: RwLock<Accounts>,
    /// Agents that go into the holder's record: work may be open there.
    recorded_agents: Mutex<BTreeSet<member::Incarnation>>,
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

    /// Calls a function with the account of one budget, under the account's lock.
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

    /// Reserves tokens for an attempt.
    ///
    /// # Errors
    ///
    /// [`InsufficientTokens`] when fewer tokens are available.
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

    /// Ends the reservation of an attempt that ran and was charged, or that certainly did not run.
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

    /// Adds a receipt's tokens to the spent tokens; returns false and does nothing when the receipt
    /// was counted before.
    ///
    /// Does not release the attempt's reservation; the caller does.
    pub fn count_receipt(&self, agent: member::Incarnation, receipt: &receipt::Receipt) -> bool {
        let _guard = self
            .snapshot_lock
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        if !lock(&self.agent(agent)).insert(receipt.number) {
            return false;
        }
        self.with_account(&receipt.budget, |account| {
            account.figures.spent += receipt.tokens;
        });
        true
    }

    fn agent(&self, agent: member::Incarnation) -> Arc<Mutex<covered::CoveredSet>> {
        let agents = self.agents.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(covered) = agents.get(&agent) {
            return covered.clone();
        }
        drop(agents);
        let mut agents = self.agents.write().unwrap_or_else(PoisonError::into_inner);
        agents.entry(agent).or_default().clone()
    }

    /// Adds an agent to the holder's record; must happen before the first work is sent to it.
    pub fn record_agent(&self, agent: member::Incarnation) {
        lock(&self.recorded_agents).insert(agent);
    }

    /// Removes an agent that has no open work and gets no more.
    pub fn remove_agent(&self, agent: member::Incarnation) {
        lock(&self.recorded_agents).remove(&agent);
    }

    /// Tokens reserved in all budgets together.
    pub fn reserved(&self) -> u64 {
        let accounts = self.accounts.read().unwrap_or_else(PoisonError::into_inner);
        accounts
            .values()
            .map(|account| lock(account).reserved)
            .sum()
    }

    /// Names of all budgets that this holder has an account for, in order.
    pub fn budgets(&self) -> BTreeSet<name::Name> {
        let accounts = self.accounts.read().unwrap_or_else(PoisonError::into_inner);
        accounts.keys().cloned().collect()
    }

    /// Counts an attempt as spent in full, because its agent is gone and its usage cannot be known.
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

    /// Returns a consistent copy of everything that is written to the holder's record.
    pub fn snapshot(&self, member: &member::Member, seq: u64) -> holder_record::HolderRecord {
        let _guard = self
            .snapshot_lock
            .write()
            .unwrap_or_else(PoisonError::into_inner);
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
            agents: lock(&self.recorded_agents).clone(),
        }
    }
}
