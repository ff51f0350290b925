//! Handles signals and reloads the settings file when it changes.

use std::{rc::Rc, time::Duration};

use crate::{gateway::core, platform, transport::signals};

/// Interval at which the settings file is read again, since it may change without a signal.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Handles signals, and reloads changed settings, until a signal says to stop.
pub async fn handle_until_stop(gw: &Rc<core::Gateway>, path: &str, signals: &signals::Signals) {
    let path = path.to_owned();
    let polling = gw.clone();
    let polled_path = path.clone();
    gw.spawn(async move {
        while !polling.is_draining() {
            polling.timers.sleep(FILE_CHECK_INTERVAL).await;
            reload(&polling, &polled_path);
        }
    });
    while let signals::Signal::Reload = signals.next().await {
        tracing::info!("signals: reloading the settings on SIGHUP");
        reload(gw, &path);
    }
}

fn reload(gw: &core::Gateway, path: &str) {
    match platform::settings::read(path) {
        Ok(settings) if settings == gw.settings() => (),
        Ok(settings) => {
            gw.reload(settings);
            tracing::info!(path, "signals: settings reloaded");
        }
        Err(err) => tracing::warn!(%err, "signals: settings not reloaded, keeping the old ones"),
    }
}
