//! Signals that end a daemon.

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Waits for SIGTERM or SIGINT; later ones change nothing.
///
/// SIGHUP is taken note of and ends nothing: settings that may change are read again whenever
/// they are needed.
pub async fn shutdown_signal() {
    let mut terminate = listen(SignalKind::terminate());
    let mut interrupt = listen(SignalKind::interrupt());
    let mut hangup = listen(SignalKind::hangup());
    loop {
        tokio::select! {
            _ = terminate.recv() => return,
            _ = interrupt.recv() => return,
            _ = hangup.recv() => crate::logging::SETTINGS_RELOADED.log_fields(&[("signal", "SIGHUP".into())]),
        }
    }
}

fn listen(kind: SignalKind) -> Signal {
    signal(kind).expect("signal handlers can be installed")
}
