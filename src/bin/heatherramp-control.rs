//! Control daemon: keeps the replicated log, places groups and serves operators.

use std::process::ExitCode;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use error_stack::Report;
use heatherramp::control;
use heatherramp::daemon;
use heatherramp::settings::Control;

fn command() -> Command {
    daemon::command("heatherramp-control", "Control daemon of heatherramp")
        .arg(
            Arg::new("init")
                .long("init")
                .action(ArgAction::SetTrue)
                .help("Create the data folder of a first installation and exit"),
        )
        .arg(
            Arg::new("join")
                .long("join")
                .action(ArgAction::SetTrue)
                .conflicts_with("init")
                .help("Create the data folder of a voter that joins a running system, as an addition or replacement, and exit"),
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let settings = match daemon::load_settings(&matches, |_| {}, Control::check) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let joins = matches.get_flag("join");
    if joins || matches.get_flag("init") {
        let created = control::create_data_folder(&settings, joins);
        return daemon::exit_code(created.map(|identity| println!("{identity}")), true);
    }
    let result = daemon::run(async {
        let daemon = control::run(settings).await?;
        daemon::shutdown_signal().await;
        daemon.stop().await;
        Ok::<(), Report<control::Error>>(())
    });
    daemon::exit_code(result, true)
}
