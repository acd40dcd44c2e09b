//! Planned stops: SIGTERM and SIGINT.

use std::io;
use tokio::signal::unix::{SignalKind, signal};

/// Waits for the first request to stop.
///
/// # Errors
///
/// Returns an error when the operating system refuses the signal handler.
pub async fn wait_for_signal() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
