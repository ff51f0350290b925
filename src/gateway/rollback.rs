//! Follows the eras of the store: after a return to a copy, remembers what this router knew of the
//! ledgers and has its own accounts written again.
//!
//! A marker in the store names each era that has begun. Writes of ledgers are made under the
//! condition that no later marker exists, since a revision number may be given out again: a write
//! that was planned in an earlier era and arrives late then fails.

use std::{rc::Rc, time::Duration};

use metrics::counter;

use crate::{
    coordination::ledger_plan,
    gateway::{core, ledger, replenishing},
    platform::store,
    state::{name, share_ledger},
};

/// Prefix of the markers' keys in the store.
pub const PREFIX: &str = "fulmar/eras/";

/// Number of markers that are written with the newest one, in case earlier ones were forgotten.
const MARKERS_WRITTEN: u64 = 4;

/// Delay between a failed attempt to write the accounts again and the next one.
const RETRY_DELAY: Duration = Duration::from_millis(250);

fn marker_key(era: u64) -> String {
    format!("{PREFIX}{era}")
}

/// Takes note of an era that has begun: what was known of the ledgers becomes a memory, and the
/// marker is written before any ledger.
///
/// # Errors
///
/// [`store::StoreError`] when the marker could not be written.
pub async fn begin_era(gw: &core::Gateway) -> Result<(), store::StoreError> {
    let era = gw.store.era();
    note_era(gw, era);
    if era == 0 || gw.era_notes.marked.get() == era {
        return Ok(());
    }
    let first = era.saturating_sub(MARKERS_WRITTEN - 1).max(1);
    let write = store::Write {
        conditions: vec![(marker_key(era), 0), (marker_key(era + 1), 0)],
        puts: (first..=era)
            .map(|era| (marker_key(era), Vec::new()))
            .collect(),
        ..store::Write::default()
    };
    // A conflict means that another router has written the marker.
    gw.store.write(&write).await?;
    gw.era_notes.marked.set(era);
    Ok(())
}

/// Turns what is known of the ledgers into a memory when an era has begun.
fn note_era(gw: &core::Gateway, era: u64) {
    let known = gw.era_notes.noted.replace(era);
    if known == era {
        return;
    }
    if gw.era_notes.first.get().is_none() {
        gw.era_notes.first.set(Some(era));
    }
    gw.era_notes.seen_at.set(gw.now());
    gw.era_notes.ledger_sightings.borrow_mut().clear();
    gw.exhausted_budgets.borrow_mut().clear();
    let ledgers = std::mem::take(&mut *gw.ledgers.borrow_mut());
    let count = ledgers.len();
    let mut remembered = gw.era_notes.remembered_ledgers.borrow_mut();
    for (workspace, item) in ledgers.iter().filter(|(_, item)| item.revision > 0) {
        let Some(ledger) = ledger::decode(item) else {
            continue;
        };
        let memory = remembered.entry(workspace.clone()).or_default();
        ledger_plan::merge(memory, &ledger);
        memory.era = memory.era.max(ledger.era);
    }
    if known == 0 {
        tracing::info!(era, "budget: era of the store noted");
        return;
    }
    counter!("fulmar_gateway_store_eras_total").increment(1);
    tracing::info!(
        era,
        known,
        ledgers = count,
        "budget: the store came back from a copy, grants are held up"
    );
}

/// Adds the condition that no later era has begun.
pub fn add_condition(gw: &core::Gateway, write: &mut store::Write) {
    let era = gw.store.era();
    if era > 0 {
        write.conditions.push((marker_key(era + 1), 0));
    }
}

/// Records that a ledger was written with what this router remembers of it.
pub fn record_written(
    gw: &core::Gateway,
    workspace: &name::Name,
    written: &share_ledger::ShareLedger,
) {
    let remembered = gw
        .era_notes
        .remembered_ledgers
        .borrow_mut()
        .remove(workspace);
    if remembered.is_none() || written.era == 0 {
        return;
    }
    let own = written.holders.get(&gw.holder()).copied();
    let own = own.unwrap_or_default();
    let share_ledger::ShareLedger {
        era,
        settled_era,
        set_aside,
        in_doubt,
        ..
    } = written;
    counter!("fulmar_gateway_accounts_rewritten_total").increment(1);
    tracing::info!(
        %workspace, era, settled_era, granted = own.granted, spent = own.spent, set_aside, in_doubt,
        "budget: account written again"
    );
}

/// Whether the whole system started for the first time with this process, and the store has not
/// come back from a copy since.
pub fn is_new_fleet(gw: &core::Gateway) -> bool {
    gw.settings().is_first_start && gw.era_notes.first.get() == Some(gw.store.era())
}

/// Whether a holder was missing from the list of members long before the store's era began.
pub fn was_absent(gw: &core::Gateway, holder: &str) -> bool {
    let presence = gw.presence.borrow();
    presence.was_absent(holder, gw.era_notes.seen_at.get())
}

/// Starts the task that writes this router's accounts again when an era has begun.
pub fn start(gw: &Rc<core::Gateway>) {
    let following = gw.clone();
    gw.spawn(async move {
        let mut written_era = following.store.era();
        loop {
            following.store.wait_for_era_after(written_era).await;
            let era = following.store.era();
            note_era(&following, era);
            while following.store.era() == era {
                match replenishing::write_accounts(&following).await {
                    Ok(true) => break,
                    Ok(false) => following.timers.sleep(RETRY_DELAY).await,
                    Err(err) => {
                        tracing::warn!(%err, era, "budget: failed to write accounts again");
                        following.timers.sleep(RETRY_DELAY).await;
                    }
                }
            }
            written_era = era;
        }
    });
}
