//! The subcommand `bench`, which does nothing: benchmarks run with `cargo bench`.

use clap::ArgMatches;
use clap::Command;

use crate::cli::Error;

/// Command line of `bench`.
pub fn command() -> Command {
    Command::new("bench").about("Measure")
}

/// Does nothing.
///
/// # Errors
///
/// Never fails.
pub async fn run(_matches: &ArgMatches) -> Result<(), Error> {
    Ok(())
}
