//! Keeps the record of releases in the store: which versions of its servers' software each service has
//! streams of.
//!
//! Each release has an item of its own, so that gateways that write at the same time can't undo each
//! other's writes. An item is closed in two steps, a minute apart: a gateway that uses the release again
//! writes the item anew, and the second step fails.

use std::{
    cell::{Cell, RefCell},
    collections::HashSet,
    rc::Rc,
    time::Duration,
};

use metrics::counter;
use serde::{Deserialize, Serialize};

use crate::{
    coordination::{crashes, releases},
    gateway::{core, peer_rpc, rollback},
    platform::store,
    state::{name, release},
};

/// Prefix of the items' keys.
pub const PREFIX: &str = "fulmar/releases/";

/// Prefix of the keys that name the eras of the store in which the record is complete.
const COMPLETE_PREFIX: &str = "fulmar/releases/complete-";

/// Time after the beginning of an era of the store after which the record is complete again: all
/// gateways have written what they know, and streams from before have ended.
const COMPLETION_TIME: Duration = Duration::from_secs(60);

/// Time that the gateway which ranks first for a new release has to record it before the others, which
/// see the release at the same time, read the record.
const FIRST_WRITER_TIME: Duration = Duration::from_millis(20);

/// Longest further delay of the others, per gateway in the fleet, so that not all read at once.
const READ_DELAY: Duration = Duration::from_millis(2);

/// Delay between a failed store call and the next one.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Interval at which the record is checked for releases to be closed.
const CLOSE_INTERVAL: Duration = Duration::from_secs(60);

/// Maximum number of items in one write.
const MAX_WRITTEN: usize = 16;

/// An item of the record.
#[derive(Deserialize, Serialize)]
struct Item {
    release: release::Release,
    /// Set by the first step of closing.
    #[serde(default)]
    is_closing: bool,
}

/// What a gateway knows of the record.
#[derive(Default)]
pub struct ReleaseNotes {
    /// Releases that are listed or recorded.
    pub known: RefCell<releases::Releases>,
    /// Notified when the known releases may have changed.
    pub changed: event_listener::Event,
    /// The newest read of the record; empty when the record is not complete.
    read: RefCell<Vec<releases::Recorded>>,
    /// Last era of the store in which the record is known to be complete.
    complete_in: Cell<u64>,
    /// Whether the newest read held an item that does not parse, which may name any release.
    is_unreadable: Cell<bool>,
    /// Number of reads that have begun, and the one whose result is in `read`.
    begun: Cell<u64>,
    completed: Cell<u64>,
    /// Held while the record is read. No other lock is taken meanwhile.
    reading: smol::lock::Mutex<()>,
}

/// Starts the task that records new releases and closes those that are gone.
pub fn start(gw: &Rc<core::Gateway>) {
    let recording = gw.clone();
    gw.spawn(async move {
        loop {
            let changed = recording.release_notes.changed.listen();
            let era = recording.store.era();
            let due = unrecorded(&recording);
            if !due.is_empty() {
                let ranks_first = |release| peer_rpc::ranks_first(&recording, hash(release));
                if !due.iter().all(ranks_first) {
                    let gateways = u32::try_from(recording.router_count()).unwrap_or(u32::MAX);
                    let delay = READ_DELAY * gateways;
                    let delay = FIRST_WRITER_TIME + delay.mul_f64(fastrand::f64());
                    recording.timers.sleep(delay).await;
                }
                if let Err(err) = record(&recording).await {
                    note_failure(&err);
                    recording.timers.sleep(RETRY_DELAY).await;
                }
                continue;
            }
            let era_began = recording.store.wait_for_era_after(era);
            let woken = smol::future::or(changed, era_began);
            if recording
                .timers
                .within(CLOSE_INTERVAL, woken)
                .await
                .is_none()
                && let Err(err) = maintain(&recording).await
            {
                note_failure(&err);
            }
        }
    });
}

fn note_failure(err: &store::StoreError) {
    counter!("fulmar_gateway_store_failures_total", "part" => "releases").increment(1);
    tracing::warn!(%err, "releases: cannot read or write the record");
}

/// Takes note of the releases of the listed servers, after the store has confirmed the list.
pub fn record_listed(gw: &core::Gateway) {
    let directory = gw.directory.borrow();
    let listed: HashSet<_> = directory.servers.values().map(|it| it.release()).collect();
    drop(directory);
    gw.release_notes
        .known
        .borrow_mut()
        .record_listed(listed, gw.now());
    if !unrecorded(gw).is_empty() {
        gw.release_notes.changed.notify(usize::MAX);
    }
}

/// Whether a stream may begin at a release.
pub fn is_recorded(gw: &core::Gateway, release: &release::Release) -> bool {
    let known = gw.release_notes.known.borrow();
    known.is_recorded(release, gw.store.era(), gw.now())
}

/// Whether the record names all releases at which streams may have begun, as far as this gateway knows.
/// After the store came back from a copy it does not for a while, nor while it holds an item that does
/// not parse.
pub fn is_complete(gw: &core::Gateway) -> bool {
    let (era, notes) = (gw.store.era(), &gw.release_notes);
    !notes.is_unreadable.get() && (era == 0 || notes.complete_in.get() == era)
}

fn unrecorded(gw: &core::Gateway) -> Vec<release::Release> {
    let known = gw.release_notes.known.borrow();
    known.unrecorded(gw.store.era(), gw.now())
}

/// The only release of these services at which streams may have begun before this call; `None` when
/// there are several, or the record is not complete.
///
/// # Errors
///
/// [`store::StoreError`] when the record could not be read.
pub async fn only_release(
    gw: &core::Gateway,
    services: &[name::Name],
) -> Result<Option<release::Release>, store::StoreError> {
    let notes = &gw.release_notes;
    let ticket = notes.begun.get();
    let _reading = notes.reading.lock().await;
    // A read that began after this call serves all that wait.
    if notes.completed.get() <= ticket {
        read(gw).await?;
    }
    Ok(releases::only_release(&notes.read.borrow(), services))
}

/// Reads the record; the caller holds the lock.
async fn read(gw: &core::Gateway) -> Result<(), store::StoreError> {
    let notes = &gw.release_notes;
    let number = notes.begun.get() + 1;
    notes.begun.set(number);
    let era = gw.store.era();
    let read = gw.store.range(PREFIX, false).await?;
    if gw.store.era() != era {
        // The items may be those of an earlier era.
        return Err(store::StoreError::NoResponse {
            call: "range",
            cause: "an era began meanwhile".to_owned(),
        });
    }
    let is_mark = |item: &&store::Item| item.key.starts_with(COMPLETE_PREFIX);
    let (marks, items): (Vec<_>, Vec<_>) = read.items.iter().partition(is_mark);
    let recorded: Vec<_> = items.iter().filter_map(|item| decode(item)).collect();
    let is_unreadable = recorded.len() < items.len();
    notes.is_unreadable.set(is_unreadable);
    let complete = format!("{COMPLETE_PREFIX}{era}");
    let is_complete = era == 0 || marks.iter().any(|item| item.key == complete);
    if is_complete {
        notes.complete_in.set(era);
    }
    notes
        .known
        .borrow_mut()
        .record_read(&recorded, era, gw.now());
    notes.changed.notify(usize::MAX);
    *notes.read.borrow_mut() = match is_complete && !is_unreadable {
        true => recorded,
        false => Vec::new(),
    };
    notes.completed.set(number);
    Ok(())
}

fn decode(item: &store::Item) -> Option<releases::Recorded> {
    match serde_json::from_slice(&item.value) {
        Ok(Item {
            release,
            is_closing,
        }) => Some(releases::Recorded {
            release,
            is_closing,
        }),
        Err(err) => {
            tracing::warn!(key = item.key, %err, "releases: an item does not parse");
            None
        }
    }
}

fn hash(release: &release::Release) -> u64 {
    crashes::fingerprint(&release.service, &[release.software.as_bytes()])
}

fn key(release: &release::Release) -> String {
    format!("{PREFIX}{:016x}", hash(release))
}

fn encode(release: &release::Release, is_closing: bool) -> Result<Vec<u8>, store::StoreError> {
    let release = release.clone();
    let item = Item {
        release,
        is_closing,
    };
    serde_json::to_vec(&item).map_err(|err| store::StoreError::NoResponse {
        call: "write",
        cause: err.to_string(),
    })
}

/// Reads the record and writes the items that it lacks.
async fn record(gw: &core::Gateway) -> Result<(), store::StoreError> {
    let _reading = gw.release_notes.reading.lock().await;
    read(gw).await?;
    for releases in unrecorded(gw).chunks(MAX_WRITTEN) {
        let put = |release| Ok((key(release), encode(release, false)?));
        let write = store::Write {
            puts: releases.iter().map(put).collect::<Result<_, _>>()?,
            ..store::Write::default()
        };
        gw.store.write(&write).await?;
        let era = gw.store.era();
        gw.release_notes
            .known
            .borrow_mut()
            .record_written(releases, era);
        for release::Release { service, software } in releases {
            counter!("fulmar_gateway_releases_recorded_total").increment(1);
            tracing::info!(%service, %software, era, "releases: recorded");
        }
    }
    complete_era(gw).await
}

/// Marks the record as complete in the store's era: at once if the fleet is new, else when those who
/// know more have had the time to write it.
async fn complete_era(gw: &core::Gateway) -> Result<(), store::StoreError> {
    let era = gw.store.era();
    let notes = &gw.release_notes;
    let is_due = || gw.now() >= gw.era_notes.seen_at.get() + COMPLETION_TIME;
    if era == 0 || notes.complete_in.get() == era || !(rollback::is_new_fleet(gw) || is_due()) {
        return Ok(());
    }
    let write = store::Write {
        puts: vec![(format!("{COMPLETE_PREFIX}{era}"), Vec::new())],
        ..store::Write::default()
    };
    gw.store.write(&write).await?;
    notes.complete_in.set(era);
    Ok(())
}

/// Completes the record in a new era, and closes the items of releases that no server has run for long.
async fn maintain(gw: &core::Gateway) -> Result<(), store::StoreError> {
    complete_era(gw).await?;
    let now = gw.now();
    let unused = gw.release_notes.known.borrow().unused(now);
    if unused.is_empty() || now > gw.servers_confirmed_at.get() + releases::CLOSE_DELAY {
        return Ok(());
    }
    for release in unused {
        let key = key(&release);
        let item = gw.store.get(&key).await?;
        if item.revision == 0 {
            gw.release_notes.known.borrow_mut().record_closed(&release);
            continue;
        }
        if peer_rpc::ranks_first(gw, hash(&release)) {
            close(gw, &release, key, &item).await?;
        }
    }
    Ok(())
}

/// Takes the next step to close an item.
async fn close(
    gw: &core::Gateway,
    release: &release::Release,
    key: String,
    item: &store::Item,
) -> Result<(), store::StoreError> {
    let is_closing = decode(item).is_some_and(|recorded| recorded.is_closing);
    let step = {
        let mut known = gw.release_notes.known.borrow_mut();
        known.closing_step(release, item.revision, is_closing, gw.now())
    };
    let mut write = store::Write {
        conditions: vec![(key.clone(), item.revision)],
        ..store::Write::default()
    };
    rollback::add_condition(gw, &mut write);
    match step {
        releases::Closing::Mark => write.puts.push((key, encode(release, true)?)),
        releases::Closing::Wait => return Ok(()),
        releases::Closing::Delete => write.deletes.push(key),
    }
    let outcome = gw.store.write(&write).await?;
    let release::Release { service, software } = release;
    tracing::info!(%service, %software, ?step, ?outcome, "releases: closing an unused one");
    if step == releases::Closing::Delete && matches!(outcome, store::WriteOutcome::Applied(_)) {
        gw.release_notes.known.borrow_mut().record_closed(release);
    }
    Ok(())
}
