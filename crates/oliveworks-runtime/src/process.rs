//! Shutdown of a process.

use tokio::signal::unix::{SignalKind, signal};

/// Completes when the process receives SIGTERM or SIGINT. Never completes if the signal handlers
/// cannot be installed.
pub async fn stop_asked() {
    let terminate = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else {
        log::error!("Signal handlers cannot be installed; a graceful stop is not possible.");
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
