//! Entry daemon: accepts calls, routes them to owners and dispatches to the replicas it owns.

use std::process::ExitCode;

use error_stack::Report;
use heatherramp::daemon;
use heatherramp::entry;
use heatherramp::settings::Entry;

fn main() -> ExitCode {
    let matches = daemon::command("heatherramp-entry", "Entry daemon of heatherramp").get_matches();
    let settings = match daemon::load_settings(&matches, |_| {}, Entry::check) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let result = daemon::run(async {
        let daemon = entry::run(settings).await?;
        daemon::shutdown_signal().await;
        daemon.stop().await;
        Ok::<(), Report<entry::Error>>(())
    });
    daemon::exit_code(result, false)
}
