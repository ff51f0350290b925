//! Keeps the list of backend servers in sync with the store, by a watch.

use std::{collections::HashSet, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use metrics::{counter, gauge};

use crate::{
    coordination::{configuration::watch_pacing, rendezvous},
    gateway::{core, releases, watch_notes::Part, watching},
    platform::{servers, store},
    state::{name, server},
};

/// Delay before the list is read again after a failed store call.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Time after the end of a store outage within which servers write their entries again if those
/// expired during the outage. The platform documents two seconds.
const RELIST_TIME: Duration = Duration::from_millis(2000);

/// Time after the beginning of an era of the store within which servers write their entries again,
/// one by one.
const RELIST_TIME_AFTER_COPY: Duration = Duration::from_millis(4000);

/// Starts the task that keeps the list in sync.
pub fn start(gw: &Rc<core::Gateway>) {
    let syncing = gw.clone();
    gw.spawn(async move {
        let mut was_unreachable = false;
        loop {
            let Err(err) = sync(&syncing, &mut was_unreachable).await else {
                continue;
            };
            was_unreachable = true;
            counter!("fulmar_gateway_store_failures_total", "part" => "directory").increment(1);
            tracing::warn!(%err, "directory: cannot reach the store");
            syncing.timers.sleep(RETRY_DELAY).await;
        }
    });
}

/// Reads the list and then watches it for changes, until the list must be read again: the store has
/// dropped the history of changes, or the watch was ended. `was_unreachable` is set when the store
/// may have been unreachable since.
async fn sync(gw: &Rc<core::Gateway>, was_unreachable: &mut bool) -> Result<(), store::StoreError> {
    let known_era = gw.era_notes.directory.get();
    watching::begin_read(gw, Part::Servers);
    let read = gw.store.range(servers::PREFIX, false).await?;
    let era = gw.store.era();
    gw.era_notes.directory.set(era);
    let mut grace_until = match std::mem::take(was_unreachable) {
        true => gw.now() + RELIST_TIME,
        false => Duration::ZERO,
    };
    if known_era > 0 && era > known_era {
        tracing::info!(
            era,
            "directory: read again after the store came back from a copy"
        );
        grace_until = gw.now() + RELIST_TIME_AFTER_COPY;
    }
    apply_snapshot(gw, &read.items, grace_until);
    gw.servers_confirmed_at.set(gw.now());
    watching::record_read(gw, Part::Servers, &read);
    releases::record_listed(gw);
    let mut after = read.store_revision;
    loop {
        let watched = watching::watch(gw, Part::Servers, servers::PREFIX, after).await?;
        let outcome = match watched {
            watching::Watched::Answered(outcome) => outcome,
            watching::Watched::ReadAgain { is_behind } => {
                // The leader saw the change, so the store was reachable and no entry expired with
                // an outage. Without a confirmation one may have.
                *was_unreachable = !is_behind;
                return Ok(());
            }
        };
        gw.servers_confirmed_at.set(gw.now());
        let store::WatchOutcome::Changes(changes, revisions) = outcome else {
            tracing::info!(
                after,
                "directory: the store dropped the watch history, reading the list again"
            );
            return Ok(());
        };
        let has_changes = !changes.is_empty();
        for change in changes {
            match change {
                store::Change::Written(item) => add_server(gw, &item, grace_until),
                store::Change::Deleted(key) => handle_missing(gw, &key, grace_until),
            }
        }
        releases::record_listed(gw);
        after = revisions.through;
        if has_changes {
            // The changes of this time come with one call instead of one call each.
            let pause = watch_pacing::pause(gw.router_count(), gw.settings().drain);
            gw.timers.sleep(pause).await;
        }
    }
}

/// Replaces the list. Servers that are missing from the new one are removed, or kept until
/// `grace_until`.
fn apply_snapshot(gw: &Rc<core::Gateway>, items: &[store::Item], grace_until: Duration) {
    let listed: HashSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
    let known_ids: Vec<_> = gw.directory.borrow().servers.keys().cloned().collect();
    let keys = known_ids
        .iter()
        .map(|id| format!("{}{id}", servers::PREFIX));
    for key in keys.filter(|key| !listed.contains(key.as_str())) {
        handle_missing(gw, &key, grace_until);
    }
    for item in items {
        add_server(gw, item, grace_until);
    }
    let mut directory = gw.directory.borrow_mut();
    directory
        .unreadable
        .retain(|key, _| listed.contains(key.as_str()));
    directory.is_loaded = true;
}

/// Adds a server or replaces its entry. Before `grace_until` an entry that the store took from a
/// copy does not put a draining process back.
fn add_server(gw: &core::Gateway, item: &store::Item, grace_until: Duration) {
    let Some(found) = servers::decode(&item.key, &item.value) else {
        // The server's last valid entry stays in use.
        report_unreadable(gw, item);
        return;
    };
    let mut directory = gw.directory.borrow_mut();
    directory.unreadable.remove(&item.key);
    if let Some(known) = directory.servers.get(&found.id) {
        let is_same_process =
            known.started_unix_ms == found.started_unix_ms && known.address == found.address;
        let goes_back = is_same_process && !known.takes_work && found.takes_work;
        if **known == found || (goes_back && gw.now() < grace_until) {
            return;
        }
    }
    let server::Server {
        id,
        service,
        address,
        software,
        takes_work,
        ..
    } = &found;
    tracing::info!(%id, %service, %address, %software, takes_work, "directory: backend server listed");
    if directory.is_loaded {
        let mut placement = gw.placement.borrow_mut();
        placement.record_started(&found, gw.now());
    }
    directory.servers.insert(found.id.clone(), Arc::new(found));
    gauge!("fulmar_gateway_servers").set(directory.servers.len() as f64);
    drop(directory);
    update_carriers(gw);
}

/// Counts and logs an entry that does not parse, once for each change of it.
fn report_unreadable(gw: &core::Gateway, item: &store::Item) {
    let unreadable = &mut gw.directory.borrow_mut().unreadable;
    if unreadable.insert(item.key.clone(), item.revision) != Some(item.revision) {
        counter!("fulmar_gateway_unreadable_entries_total").increment(1);
        tracing::warn!(key = item.key, "directory: entry does not parse, ignored");
    }
}

/// Removes a server whose entry is gone from the store. Before `grace_until` the server is kept,
/// and removed at that time unless the store lists it again.
fn handle_missing(gw: &Rc<core::Gateway>, key: &str, grace_until: Duration) {
    gw.directory.borrow_mut().unreadable.remove(key);
    let Some(id) = key.strip_prefix(servers::PREFIX) else {
        return;
    };
    if gw.now() >= grace_until {
        remove_server(gw, id);
        return;
    }
    let id = name::Name::from(id);
    let Some(known) = gw.directory.borrow().servers.get(&id).cloned() else {
        return;
    };
    tracing::info!(%id, "directory: entry expired during a store outage, server kept for now");
    if !gw.expired_servers.borrow_mut().add(known, grace_until) {
        return;
    }
    let waiting = gw.clone();
    gw.spawn(async move {
        loop {
            let next_due = waiting.expired_servers.borrow().next_due();
            let Some(due) = next_due else {
                return;
            };
            let wait = due.saturating_sub(waiting.now());
            waiting.timers.sleep(wait).await;
            remove_unlisted(&waiting).await;
        }
    });
}

/// Removes the servers whose entries expired during a store outage and were not written again in
/// time. One call reads the entries of all; if the store can't be reached, the servers are kept.
async fn remove_unlisted(gw: &core::Gateway) {
    let overdue = gw.expired_servers.borrow_mut().take_due(gw.now());
    if overdue.is_empty() {
        return;
    }
    let read = gw.store.range(servers::PREFIX, false).await;
    let listed: HashSet<String> = match read {
        Ok(read) => read.items.into_iter().map(|item| item.key).collect(),
        Err(err) => {
            let servers = overdue.len();
            tracing::warn!(%err, servers, "directory: failed to check expired entries");
            return;
        }
    };
    for server in overdue {
        // A changed entry means that the server has been listed again since.
        let now = gw.directory.borrow().servers.get(&server.id).cloned();
        let is_same = now.is_some_and(|now| Arc::ptr_eq(&now, &server));
        if is_same && !listed.contains(&format!("{}{}", servers::PREFIX, server.id)) {
            remove_server(gw, &server.id);
        }
    }
}

fn remove_server(gw: &core::Gateway, id: &str) {
    let mut directory = gw.directory.borrow_mut();
    if directory.servers.remove(id).is_some() {
        tracing::info!(id, "directory: backend server removed");
        gauge!("fulmar_gateway_servers").set(directory.servers.len() as f64);
        gw.ended_servers.borrow_mut().forget(id);
    }
}

/// Updates the list of carriers through which the store can be reached. A carrier runs on the VM of
/// each model engine and listens at the fleet port there.
pub fn update_carriers(gw: &core::Gateway) {
    let Some(deployment) = gw.deployment() else {
        return;
    };
    let has_engine = |server: &&Arc<server::Server>| {
        let service = deployment.services.get(&server.service);
        service.is_some_and(|service| service.engine.is_some())
    };
    let port = gw.settings().fleet_listen.port();
    let directory = gw.directory.borrow();
    let engines = directory.servers.values().filter(has_engine);
    let mut engine_ips: Vec<_> = engines.map(|server| server.address.ip()).collect();
    drop(directory);
    engine_ips.sort_by_cached_key(|ip| rendezvous::weight(&ip.to_string(), gw.incarnation));
    engine_ips.dedup();
    let carriers = engine_ips.into_iter().map(|ip| SocketAddr::new(ip, port));
    gw.store_route.borrow_mut().set_carriers(carriers.collect());
}

/// Listed servers of a service.
pub fn servers_of(gw: &core::Gateway, service: &str) -> Vec<Arc<server::Server>> {
    let directory = gw.directory.borrow();
    let servers = directory.servers.values();
    let of_service = servers.filter(|server| &*server.service == service);
    of_service.cloned().collect()
}

/// Heartbeats of a server after which the platform has removed its entry if its process has ended: it
/// waits for three, and the list is late.
const ENTRY_HEARTBEATS: u32 = 4;

/// Whether a server's process was seen to end, so that another may have taken its id and address.
pub fn has_ended(gw: &core::Gateway, server: &server::Server) -> bool {
    let lapse = gw.settings().heartbeat * ENTRY_HEARTBEATS;
    let ended = gw.ended_servers.borrow();
    ended.has_ended(server, gw.servers_confirmed_at.get(), lapse)
}

/// Forgets the processes that ended so long ago that [`has_ended`] does not count them.
pub fn forget_ended(gw: &core::Gateway) {
    let lapse = gw.settings().heartbeat * ENTRY_HEARTBEATS;
    let confirmed_at = gw.servers_confirmed_at.get();
    let mut ended = gw.ended_servers.borrow_mut();
    ended.forget_before(confirmed_at, lapse);
}

/// Whether what a server sends is certainly made by the software that `server`, a former entry of it,
/// names.
pub fn runs_listed_software(gw: &core::Gateway, server: &server::Server) -> bool {
    let directory = gw.directory.borrow();
    let listed = directory.servers.get(&server.id);
    listed.is_none_or(|listed| listed.software == server.software) && !has_ended(gw, server)
}
