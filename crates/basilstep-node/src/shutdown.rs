//! Graceful shutdown on SIGTERM or SIGINT.

use std::io;
use tokio::signal::unix::{SignalKind, signal};

/// Waits for the first SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error when a signal handler cannot be installed.
pub async fn wait_for_signal() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
