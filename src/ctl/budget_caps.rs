//! Caps on budgets whose prepaid total is about to be reduced.
//!
//! A cap in the budget's ledger entry limits grants to the lower total from the check until routers
//! have adopted the published total. Without it, tokens granted in between could exceed the new
//! total.

use std::collections::BTreeMap;

use crate::{
    error,
    protocol::kv,
    state::{budget, ledger, name, object_set},
    transport::store,
};

/// Maximum number of attempts at one compare-and-swap.
const MAX_CAS_ATTEMPTS: u32 = 16;

/// Reads the ledger entry of a budget; `None` when no router has used the budget yet.
///
/// # Errors
///
/// [`error::Error::Store`] when the store cannot be reached.
pub async fn read_entry(
    store: &store::Store,
    budget: &str,
) -> Result<Option<ledger::Entry>, error::Error> {
    let Some(found) = store.get(&store::ledger_key(budget)).await? else {
        return Ok(None);
    };
    let mut bucket: ledger::Bucket = kv::decode(&found)?;
    Ok(bucket.entries.remove(budget))
}

/// Reads the number of tokens granted or spent, for every budget in the ledger.
///
/// # Errors
///
/// [`error::Error::Store`] when the store cannot be reached.
pub async fn read_committed(
    store: &store::Store,
) -> Result<BTreeMap<name::Name, i128>, error::Error> {
    let (found, _) = store.list(store::LEDGER_PREFIX).await?;
    let mut committed = BTreeMap::new();
    for kv in found {
        let bucket: ledger::Bucket = kv::decode(&kv)?;
        for (name, entry) in bucket.entries {
            committed.insert(name, entry.committed());
        }
    }
    Ok(committed)
}

/// Whether publishing `budget` may reduce its total. That includes budgets that are not in `old`,
/// because they may still have a ledger entry.
fn may_reduce(budget: &budget::Budget, old: &object_set::ObjectSet) -> bool {
    let current = old.budgets.get(&budget.name);
    current.is_none_or(|current| budget.prepaid_tokens < current.prepaid_tokens)
}

/// Caps every budget whose total is reduced, after checking that all the new totals are allowed.
///
/// A cap is not removed when the publication fails, because another publication in progress may
/// rely on it. It is dropped with the next version that routers adopt.
///
/// # Errors
///
/// [`error::Error::TotalTooLow`] when a total is below the tokens granted and spent, with the
/// lowest total that is allowed; [`error::Error::Store`] when the store fails.
pub async fn place_caps(
    store: &store::Store,
    old: &object_set::ObjectSet,
    new: &object_set::ObjectSet,
    version: u64,
) -> Result<(), error::Error> {
    let reduced = || {
        new.budgets
            .values()
            .filter(|budget| may_reduce(budget, old))
    };
    for budget in reduced() {
        if let Some(entry) = read_entry(store, &budget.name).await? {
            check_total(budget, &entry)?;
        }
    }
    for budget in reduced() {
        let is_new = !old.budgets.contains_key(&budget.name);
        place_cap(store, budget, version, is_new).await?;
    }
    Ok(())
}

/// Checks that the total of `budget` covers the tokens granted and spent.
fn check_total(budget: &budget::Budget, entry: &ledger::Entry) -> Result<(), error::Error> {
    let least = entry.committed();
    if i128::from(budget.prepaid_tokens) >= least {
        return Ok(());
    }
    Err(error::Error::TotalTooLow {
        budget: budget.name.to_string(),
        total: budget.prepaid_tokens,
        least,
    })
}

/// Caps one budget. A new budget without a ledger entry needs no cap, because nothing has been
/// granted from it.
async fn place_cap(
    store: &store::Store,
    budget: &budget::Budget,
    version: u64,
    is_new: bool,
) -> Result<(), error::Error> {
    update_entry(store, &budget.name, |entry| {
        if entry.is_none() && is_new {
            return Ok(None);
        }
        let mut entry = entry.unwrap_or_default();
        check_total(budget, &entry)?;
        let current = entry.cap.as_ref().map_or(u64::MAX, |cap| cap.tokens);
        let tokens = budget.prepaid_tokens.min(current);
        entry.cap = Some(ledger::Cap { tokens, version });
        Ok(Some(entry))
    })
    .await
}

/// Changes one entry by compare-and-swap; it stays as it is when `apply` returns `None`.
async fn update_entry(
    store: &store::Store,
    budget: &name::Name,
    mut apply: impl FnMut(Option<ledger::Entry>) -> Result<Option<ledger::Entry>, error::Error>,
) -> Result<(), error::Error> {
    let key = store::ledger_key(budget);
    for _ in 0..MAX_CAS_ATTEMPTS {
        let found = store.get(&key).await?;
        let revision = found.as_ref().map_or(0, |kv| kv.mod_revision.0);
        let mut bucket: ledger::Bucket = match &found {
            Some(kv) => kv::decode(kv)?,
            None => ledger::Bucket::default(),
        };
        let Some(entry) = apply(bucket.entries.get(budget).cloned())? else {
            return Ok(());
        };
        bucket.entries.insert(budget.clone(), entry);
        if let store::Put::Written(_) = store.put_if(&key, &bucket, revision, 0).await? {
            return Ok(());
        }
    }
    Err(error::Error::Store {
        call: "put",
        message: format!("{key} was changed by others in every attempt"),
    })
}
