//! Fleet controller: keeps the replicated log, forms groups of VMs and serves operators.

use std::process::ExitCode;

use error_stack::Report;
use heatherramp::daemon;
use heatherramp::fleet;
use heatherramp::settings::Fleet;

fn main() -> ExitCode {
    let command = daemon::command("heatherramp-fleet", "Fleet controller of heatherramp");
    let matches = daemon::with_memory(command).get_matches();
    let adjust = |settings: &mut Fleet| {
        settings.memory_mb = daemon::memory_mb(&matches).unwrap_or(settings.memory_mb);
    };
    let settings = match daemon::load_settings(&matches, adjust, Fleet::check) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let name = settings.name.clone();
    let result = daemon::run_single_threaded(&name, async {
        let daemon = fleet::run(settings).await?;
        daemon::shutdown_signal().await;
        daemon.stop().await;
        Ok::<(), Report<fleet::Error>>(())
    });
    daemon::exit_code(result, false)
}
