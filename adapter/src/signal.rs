//! Signals of the operating system as messages.

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::mpsc;

/// What a process is told from outside.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// Finish the work in hand and end.
    Stop,
    /// Read the settings again.
    Reload,
}

/// Signals waiting at most.
const CHANNEL_CAPACITY: usize = 16;

/// Receives signals from now on.
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
