//! Handles signals and reloads the settings file when it changes.

use std::{rc::Rc, time::Duration};

use crate::{error, gateway::core, platform};

/// Interval at which the settings file is read again, since it may change without a signal.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// What a signal asks for.
enum Signal {
    Stop,
    Reload,
}

/// Starts a thread that receives signals and sends their numbers to the returned channel.
pub fn listen() -> Result<async_channel::Receiver<i32>, error::Error> {
    let mut signals = signal_hook::iterator::Signals::new([
        signal_hook::consts::SIGTERM,
        signal_hook::consts::SIGINT,
        signal_hook::consts::SIGHUP,
    ])?;
    let (tx, rx) = async_channel::unbounded();
    std::thread::Builder::new()
        .name("signals".to_owned())
        .stack_size(64 * 1024)
        .spawn(move || {
            signals
                .forever()
                .all(|signal| tx.send_blocking(signal).is_ok())
        })?;
    Ok(rx)
}

async fn next(signals: &async_channel::Receiver<i32>) -> Signal {
    match signals.recv().await {
        Ok(signal_hook::consts::SIGHUP) => Signal::Reload,
        Ok(_) | Err(_) => Signal::Stop,
    }
}

/// Handles signals, and reloads changed settings, until a signal says to stop.
pub async fn handle_until_stop(
    gw: &Rc<core::Gateway>,
    path: &str,
    signals: &async_channel::Receiver<i32>,
) {
    let path = path.to_owned();
    let polling = gw.clone();
    let polled_path = path.clone();
    gw.spawn(async move {
        while !polling.is_draining() {
            polling.timers.sleep(FILE_CHECK_INTERVAL).await;
            reload(&polling, &polled_path);
        }
    });
    while let Signal::Reload = next(signals).await {
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
