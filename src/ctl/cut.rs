//! Cuts of prepaid totals: a cap in the ledger holds grants down until the cut is published.

use std::collections::BTreeMap;

use crate::{
    error,
    protocol::kv,
    state::{budget, ledger, name, object_set},
    transport::store,
};

const CAS_ATTEMPTS: u32 = 16;

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

/// Tokens that are granted or spent, of every budget in the ledger.
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

fn may_cut(budget: &budget::Budget, old: &object_set::ObjectSet) -> bool {
    let known = old.budgets.get(&budget.name);
    known.is_none_or(|known| budget.prepaid_tokens < known.prepaid_tokens)
}

/// Caps every budget whose total shrinks, after all of them have passed.
///
/// A cap is not taken away when the publication fails: another one under way may rely on it. The
/// next version that routers adopt drops it.
///
/// # Errors
///
/// [`error::Error::TotalTooLow`] names a total below what is granted and spent and the least that passes;
/// [`error::Error::Store`] when the store fails.
pub async fn place_caps(
    store: &store::Store,
    old: &object_set::ObjectSet,
    new: &object_set::ObjectSet,
    version: u64,
) -> Result<(), error::Error> {
    let cuts = || new.budgets.values().filter(|budget| may_cut(budget, old));
    for budget in cuts() {
        if let Some(entry) = read_entry(store, &budget.name).await? {
            check(budget, &entry)?;
        }
    }
    for budget in cuts() {
        let is_new = !old.budgets.contains_key(&budget.name);
        place_cap(store, budget, version, is_new).await?;
    }
    Ok(())
}

fn check(budget: &budget::Budget, entry: &ledger::Entry) -> Result<(), error::Error> {
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

/// Caps one budget; a new one without an entry has nothing to cut.
async fn place_cap(
    store: &store::Store,
    budget: &budget::Budget,
    version: u64,
    is_new: bool,
) -> Result<(), error::Error> {
    change(store, &budget.name, |entry| {
        if entry.is_none() && is_new {
            return Ok(None);
        }
        let mut entry = entry.unwrap_or_default();
        check(budget, &entry)?;
        let known = entry.cap.as_ref().map_or(u64::MAX, |cap| cap.tokens);
        let tokens = budget.prepaid_tokens.min(known);
        entry.cap = Some(ledger::Cap { tokens, version });
        Ok(Some(entry))
    })
    .await
}

/// Changes one entry by compare-and-swap; `None` leaves it as it is.
async fn change(
    store: &store::Store,
    budget: &name::Name,
    mut apply: impl FnMut(Option<ledger::Entry>) -> Result<Option<ledger::Entry>, error::Error>,
) -> Result<(), error::Error> {
    let key = store::ledger_key(budget);
    for _ in 0..CAS_ATTEMPTS {
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
        message: format!("{key} changes too often"),
    })
}
