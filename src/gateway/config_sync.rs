//! Keeps the configuration in sync with the one that the operator publishes in the store, by a
//! watch.

use std::{rc::Rc, sync::Arc, time::Duration};

use metrics::{counter, gauge};

use crate::{
    gateway::{core, directory, watch_notes::Part, watching},
    platform::{configuration, store},
};

/// Delay before the configuration is read again after a failed store call. It bounds how long the
/// end of a store outage goes unnoticed.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Starts the task that keeps the configuration in sync.
pub fn start(gw: &Rc<core::Gateway>) {
    let syncing = gw.clone();
    gw.spawn(async move {
        loop {
            if let Err(err) = sync(&syncing).await {
                counter!("fulmar_gateway_store_failures_total", "part" => "configuration")
                    .increment(1);
                tracing::warn!(%err, "configuration: cannot reach the store");
                syncing.timers.sleep(RETRY_DELAY).await;
            }
        }
    });
}

/// Reads the configuration and then watches it for changes, until the configuration must be read
/// again: the store has dropped the history of changes, or the watch was ended.
async fn sync(gw: &core::Gateway) -> Result<(), store::StoreError> {
    watching::begin_read(gw, Part::Configuration);
    let read = gw.store.range(configuration::PREFIX, false).await?;
    for item in &read.items {
        apply(gw, item);
    }
    gw.config_confirmed_at.set(gw.now());
    watching::record_read(gw, Part::Configuration, &read);
    let mut after = read.store_revision;
    loop {
        let watched = watching::watch(gw, Part::Configuration, configuration::PREFIX, after);
        let watching::Watched::Answered(outcome) = watched.await? else {
            return Ok(());
        };
        gw.config_confirmed_at.set(gw.now());
        let store::WatchOutcome::Changes(changes, revisions) = outcome else {
            tracing::info!(
                after,
                "configuration: the store dropped the watch history, reading it again"
            );
            return Ok(());
        };
        for change in changes {
            if let store::Change::Written(item) = change {
                apply(gw, &item);
            }
        }
        after = revisions.through;
    }
}

/// Puts a configuration in force unless one of the same or a newer version already is.
fn apply(gw: &core::Gateway, item: &store::Item) {
    if item.key != configuration::KEY {
        return;
    }
    let decoded = match configuration::decode(&item.value) {
        Ok(decoded) => decoded,
        Err(err) => {
            tracing::warn!(%err, revision = item.revision, "configuration: invalid, ignored");
            return;
        }
    };
    let version = decoded.version;
    let mut deployment = gw.deployment.borrow_mut();
    if deployment
        .as_ref()
        .is_some_and(|known| known.version >= version)
    {
        return;
    }
    let routes: usize = decoded.routes.values().map(Vec::len).sum();
    *deployment = Some(Arc::new(decoded));
    gauge!("fulmar_gateway_config_version").set(version as f64);
    tracing::info!(
        version,
        routes,
        revision = item.revision,
        "configuration: in force"
    );
    drop(deployment);
    directory::update_carriers(gw);
}
