//! `heatherramp explain`: timeline of one request from log files.

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;

use super::Error;
use crate::logging::timeline;

/// Command line of `explain`.
pub(super) fn command() -> Command {
    Command::new("explain")
        .about("Print the timeline of one request from the logs of all processes")
        .arg(
            Arg::new("request")
                .required(true)
                .help("Identifier of the request, as in the field `request` of the logs"),
        )
        .arg(
            Arg::new("files")
                .required(true)
                .action(ArgAction::Append)
                .num_args(1..)
                .help("Log files of the processes; lines without a JSON object are skipped"),
        )
}

/// Runs `explain`.
pub(super) fn run(matches: &ArgMatches) -> Result<(), Error> {
    let request = matches.get_one::<String>("request").expect("required");
    let mut logs = String::new();
    for file in matches.get_many::<String>("files").into_iter().flatten() {
        let bytes = std::fs::read(file).map_err(|e| Error::Input(format!("{file}: {e}")))?;
        logs.push_str(&String::from_utf8_lossy(&bytes));
        logs.push('\n');
    }
    let lines = timeline(request, logs.lines());
    let Some(first) = lines.first() else {
        return Err(Error::Input(format!("no log line names the request {request}")));
    };
    let start = first.at_ms;
    for line in &lines {
        let after_ms = line.at_ms - start;
        println!(
            "{after_ms:>6} ms  {:<22} {:<18} {}",
            line.process, line.event, line.fields
        );
    }
    Ok(())
}
