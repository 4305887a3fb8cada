//! Command line, settings and runtime of a daemon.

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

/// Option with the path of the settings file.
const SETTINGS_OPTION: &str = "settings";
/// Environment variable with the path of the settings file, used if the option is absent.
const SETTINGS_VARIABLE: &str = "HEATHERRAMP_SETTINGS";
/// Option with the memory of this VM, in MB.
const MEMORY_OPTION: &str = "memory-mb";
/// Environment variable with the memory of this VM, used if the option is absent.
const MEMORY_VARIABLE: &str = "HEATHERRAMP_MEMORY_MB";
/// Option that checks the settings and exits.
const CHECK_OPTION: &str = "check-settings";

/// Command line with the options that every daemon has.
pub fn command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new(SETTINGS_OPTION)
                .long(SETTINGS_OPTION)
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .env(SETTINGS_VARIABLE)
                .required(true)
                .help("Settings file, JSON with comments"),
        )
        .arg(
            Arg::new(CHECK_OPTION)
                .long(CHECK_OPTION)
                .action(ArgAction::SetTrue)
                .help("Check the settings file and exit"),
        )
}

/// Adds the option with the memory of the VM to the command line of a daemon that bounds what it holds.
pub fn with_memory(command: Command) -> Command {
    command.arg(
        Arg::new(MEMORY_OPTION)
            .long(MEMORY_OPTION)
            .value_name("MB")
            .value_parser(value_parser!(f64))
            .env(MEMORY_VARIABLE)
            .help("Memory of this VM in MB, instead of `memory_mb` of the settings"),
    )
}

/// Memory of this VM in MB, if the command line or the environment states it.
pub fn memory_mb(matches: &ArgMatches) -> Option<f64> {
    matches.get_one(MEMORY_OPTION).copied()
}

/// Reads and checks the settings file that the command line names; `adjust` applies what goes before the file.
///
/// # Errors
///
/// Exit code of the program if the settings are invalid, or if only their check was requested.
pub fn load_settings<T: DeserializeOwned>(
    matches: &ArgMatches,
    adjust: impl FnOnce(&mut T),
    check: impl FnOnce(&T) -> Result<(), Report<Error>>,
) -> Result<T, ExitCode> {
    let path = matches.get_one::<PathBuf>(SETTINGS_OPTION).expect("required");
    let loaded = settings::load::<T>(path).and_then(|mut loaded| {
        adjust(&mut loaded);
        check(&loaded).map(|()| loaded)
    });
    let settings = loaded.map_err(|report| exit_code(Err(report), true))?;
    if matches.get_flag(CHECK_OPTION) {
        println!("{} is valid", path.display());
        return Err(ExitCode::SUCCESS);
    }
    Ok(settings)
}

/// Starts logging to standard error and runs a daemon on a multi-threaded runtime until it ends.
pub fn run<E: Debug>(daemon: impl Future<Output = Result<(), E>>) -> Result<(), E> {
    logging::start_text();
    let runtime = tokio::runtime::Runtime::new().expect("threads can be started");
    runtime.block_on(daemon)
}

/// Starts logging to standard output and runs a daemon on a single-threaded runtime until it ends.
///
/// On a VM with a fraction of a core, more runtime threads would only add context switches. `process`
/// is the name of this process in log lines.
pub fn run_single_threaded<E: Debug>(
    process: &str,
    daemon: impl Future<Output = Result<(), E>>,
) -> Result<(), E> {
    logging::start_json(process);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime without threads").block_on(daemon)
}
