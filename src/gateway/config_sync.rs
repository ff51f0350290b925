//! Follows the operator's configuration in the store.

use std::{rc::Rc, sync::Arc, time::Duration};

use metrics::{counter, gauge};

use crate::{
    gateway::{core, directory},
    platform::{configuration, store},
};

/// Wait of one watch. A call is priced however long it waits; a silent connection is noticed by
/// probes, not by the end of the wait.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause after a failed call; the store is back within this time of its return.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Starts following.
pub fn start(gw: &Rc<core::Gateway>) {
    let following = gw.clone();
    gw.spawn(async move {
        loop {
            if let Err(err) = follow(&following).await {
                counter!("fulmar_gateway_store_failures_total", "part" => "configuration")
                    .increment(1);
                tracing::warn!(%err, "configuration: the store is out of reach");
                following.timers.sleep(RETRY_DELAY).await;
            }
        }
    });
}

async fn follow(gw: &core::Gateway) -> Result<(), store::StoreError> {
    let read = gw.store.range(configuration::PREFIX, false).await?;
    for item in read.items {
        apply(gw, &item);
    }
    gw.config_confirmed_at.set(gw.now());
    let mut after = read.store_revision;
    loop {
        let watched = gw
            .store
            .watch(configuration::PREFIX, after, WATCH_TIMEOUT)
            .await?;
        gw.config_confirmed_at.set(gw.now());
        let store::Watched::Changes(changes, revision) = watched else {
            tracing::info!(after, "configuration: history lost, reading it anew");
            return Ok(());
        };
        for change in changes {
            if let store::Change::Written(item) = change {
                apply(gw, &item);
            }
        }
        after = revision;
    }
}

/// Puts a configuration in force unless a newer one is.
fn apply(gw: &core::Gateway, item: &store::Item) {
    if item.key != configuration::KEY {
        return;
    }
    let decoded = match configuration::decode(&item.value) {
        Ok(decoded) => decoded,
        Err(err) => {
            tracing::warn!(%err, revision = item.revision, "configuration: not taken");
            return;
        }
    };
    let version = decoded.version;
    let mut deployment = gw.deployment.borrow_mut();
    if deployment
        .as_ref()
        .is_some_and(|held| held.version >= version)
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
