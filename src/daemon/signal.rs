//! Signals that a daemon handles.

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Waits for SIGTERM or SIGINT; once handled, repeated signals do not cut the shutdown short.
///
/// SIGHUP is only logged. The only settings that are read again at run time are a gateway's seeds, after
/// its reports have failed.
pub async fn shutdown_signal() {
    let mut terminate = subscribe(SignalKind::terminate());
    let mut interrupt = subscribe(SignalKind::interrupt());
    let mut hangup = subscribe(SignalKind::hangup());
    loop {
        tokio::select! {
            _ = terminate.recv() => return,
            _ = interrupt.recv() => return,
            _ = hangup.recv() => crate::logging::SETTINGS_RELOADED.log_fields(&[("signal", "SIGHUP".into())]),
        }
    }
}

fn subscribe(kind: SignalKind) -> Signal {
    signal(kind).expect("signal handlers can be installed")
}
