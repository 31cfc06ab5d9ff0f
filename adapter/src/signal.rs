//! Signals of the operating system as messages on a channel, for both modes.

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::mpsc;

/// A request from the operating system or the operator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// Finish running work and exit (SIGTERM, SIGINT).
    Stop,
    /// Reload the settings (SIGHUP).
    Reload,
}

/// Capacity of the channel, in signals.
const CHANNEL_CAPACITY: usize = 16;

/// Installs the signal handlers and returns the channel of received signals.
///
/// # Errors
///
/// Returns an error if a handler can't be installed.
pub fn receive() -> std::io::Result<mpsc::Receiver<Signal>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let (sender, receiver) = mpsc::channel(CHANNEL_CAPACITY);
    tokio::spawn(async move {
        loop {
            let signal = tokio::select! {
                _ = terminate.recv() => Signal::Stop,
                _ = interrupt.recv() => Signal::Stop,
                _ = hangup.recv() => Signal::Reload,
            };
            if sender.send(signal).await.is_err() {
                return;
            }
        }
    });
    Ok(receiver)
}
