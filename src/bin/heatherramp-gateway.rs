//! Gateway: accepts requests and chooses an upstream for each.

use std::process::ExitCode;

use error_stack::Report;
use heatherramp::daemon;
use heatherramp::gateway;
use heatherramp::settings::Gateway;

fn main() -> ExitCode {
    let command = daemon::command("heatherramp-gateway", "Gateway of heatherramp");
    let matches = daemon::with_memory(command).get_matches();
    let adjust = |settings: &mut Gateway| {
        settings.memory_mb = daemon::memory_mb(&matches).unwrap_or(settings.memory_mb);
    };
    let settings = match daemon::load_settings(&matches, adjust, Gateway::check) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let name = settings.name.clone();
    let result = daemon::run_single_threaded(&name, async {
        let daemon = gateway::run(settings).await?;
        daemon::shutdown_signal().await;
        daemon.stop().await;
        Ok::<(), Report<gateway::Error>>(())
    });
    daemon::exit_code(result, false)
}
