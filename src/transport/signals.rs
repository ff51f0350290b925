//! Signals that the platform sends to a process.

use crate::error;

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// To stop.
    Stop,
    /// To read the settings file again.
    Reload,
}

/// The signals that this process receives, in order.
pub struct Signals(async_channel::Receiver<i32>);

/// Starts a thread that receives signals. Without it, each of them ends the process.
///
/// # Errors
///
/// The error of registering the handlers or of starting the thread.
pub fn listen() -> Result<Signals, error::Error> {
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
    Ok(Signals(rx))
}

impl Signals {
    /// Waits for the next signal.
    pub async fn next(&self) -> Signal {
        match self.0.recv().await {
            Ok(signal_hook::consts::SIGHUP) => Signal::Reload,
            Ok(_) | Err(_) => Signal::Stop,
        }
    }
}
