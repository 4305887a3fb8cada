//! `heatherramp standin`: stand-in upstreams, as a process of their own.

use std::path::PathBuf;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use super::Error;
use crate::daemon;
use crate::settings;
use crate::standin;

/// Command line of `standin`.
pub(super) fn command() -> Command {
    Command::new("standin")
        .about("Run stand-in upstreams, for demos and tests")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_parser(value_parser!(PathBuf))
                .required(true)
                .help("Settings file, JSON with comments"),
        )
}

/// Runs `standin` until SIGTERM or SIGINT.
pub(super) async fn run(matches: &ArgMatches) -> Result<(), Error> {
    let path = matches.get_one::<PathBuf>("settings").expect("required");
    let settings: standin::Settings =
        settings::load(path).map_err(|report| Error::Input(format!("{report:?}")))?;
    let vms = standin::start(settings)
        .await
        .map_err(|e| Error::Input(e.to_string()))?;
    for (name, address) in &vms.addresses {
        println!("{name} {address}");
    }
    daemon::shutdown_signal().await;
    Ok(())
}
