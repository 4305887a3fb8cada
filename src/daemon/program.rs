//! Start of a daemon's program.

use std::fmt::Debug;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use error_stack::Report;
use serde::de::DeserializeOwned;

use super::exit::exit_code;
use crate::logging;
use crate::settings;
use crate::settings::Error;

/// Option that names the settings file.
const SETTINGS: &str = "settings";
/// Variable that names the settings file when the option does not.
const SETTINGS_VARIABLE: &str = "HEATHERRAMP_SETTINGS";
/// Option that checks the settings and exits.
const CHECK: &str = "check-settings";

/// Command line with the options that every daemon has.
pub fn command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new(SETTINGS)
                .long(SETTINGS)
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .env(SETTINGS_VARIABLE)
                .required(true)
                .help("Settings file, JSON with comments"),
        )
        .arg(
            Arg::new(CHECK)
                .long(CHECK)
                .action(ArgAction::SetTrue)
                .help("Check the settings file and exit"),
        )
}

/// Reads and checks the settings that `matches` names.
///
/// # Errors
///
/// The exit code when the settings are bad, or when only their check was asked for.
pub fn load_settings<T: DeserializeOwned>(
    matches: &ArgMatches,
    check: impl FnOnce(&T) -> Result<(), Report<Error>>,
) -> Result<T, ExitCode> {
    let path = matches.get_one::<PathBuf>(SETTINGS).expect("required");
    let loaded = settings::load::<T>(path).and_then(|s| check(&s).map(|()| s));
    let settings = loaded.map_err(|report| exit_code(Err(report), true))?;
    if matches.get_flag(CHECK) {
        println!("{} is valid", path.display());
        return Err(ExitCode::SUCCESS);
    }
    Ok(settings)
}

/// Starts logging and runs a daemon to its end.
pub fn run<E: Debug>(daemon: impl Future<Output = Result<(), E>>) -> Result<(), E> {
    logging::start_text();
    let runtime = tokio::runtime::Runtime::new().expect("threads can be started");
    runtime.block_on(daemon)
}

/// Starts logging to standard output and runs a daemon to its end on this thread alone.
///
/// A VM with a part of one core gains nothing from more threads and pays for their switches.
pub fn run_single_threaded<E: Debug>(
    process: &str,
    daemon: impl Future<Output = Result<(), E>>,
) -> Result<(), E> {
    logging::start_json(process);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime without threads").block_on(daemon)
}
