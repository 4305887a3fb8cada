//! `heatherramp zone`: takes availability zones out of service and brings them back.

use clap::Arg;
use clap::ArgMatches;
use clap::Command;

use super::Error;
use super::client::Client;
use super::wait;
use crate::domain::state::Change;

/// Longest wait until the change is in force on every entry, in seconds.
const WAIT_SECONDS: u64 = 6;

/// Command line of `zone`.
pub(super) fn command() -> Command {
    let name = || Arg::new("zone").required(true).help("Availability zone");
    Command::new("zone")
        .about("Take availability zones out of service and bring them back")
        .subcommand_required(true)
        .subcommand(
            Command::new("out")
                .about("Take a zone out of service; returns when no entry gives it new work")
                .arg(name()),
        )
        .subcommand(
            Command::new("in")
                .about("Bring a zone back into service; its load returns gradually")
                .arg(name()),
        )
}

/// Runs `zone`.
pub(super) async fn run(client: &Client, matches: &ArgMatches, json: bool) -> Result<(), Error> {
    let Some((verb, matches)) = matches.subcommand() else {
        return Err(Error::Input("no such command".to_owned()));
    };
    let change = Change::SetZone {
        zone: matches.get_one::<String>("zone").expect("required").clone(),
        out: verb == "out",
    };
    let (version, index) = client.change(&change).await?;
    if json {
        println!("{}", serde_json::json!({"version": version, "index": index}));
    }
    // Without an entry, nobody sends requests to the zone.
    wait::until_in_force(client, index, false, WAIT_SECONDS).await
}
