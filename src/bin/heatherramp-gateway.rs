//! Gateway: accepts requests and chooses an upstream for each.

use std::process::ExitCode;

use error_stack::Report;
use heatherramp::daemon;
use heatherramp::gateway;
use heatherramp::settings::Gateway;

fn main() -> ExitCode {
    let command = daemon::command("heatherramp-gateway", "Gateway of heatherramp");
    let settings = match daemon::load_settings(&command.get_matches(), Gateway::check) {
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
