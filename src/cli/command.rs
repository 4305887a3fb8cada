//! Command line of the operator command.

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;

use super::Error;
use super::client::Client;
use super::configuration;
use super::demo;
use super::environment;
use super::explain;
use super::keys;
use super::standin;
use super::status;
use super::zone;

/// Environment variable with the operator's key.
const KEY_VARIABLE: &str = "HEATHERRAMP_OPERATOR_KEY";

/// Command line of `heatherramp`.
pub fn command() -> Command {
    Command::new("heatherramp")
        .about("Operates a heatherramp system")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("control")
                .long("control")
                .global(true)
                .value_delimiter(',')
                .default_value("127.0.0.1:7201")
                .help("HTTP addresses of the control processes"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .global(true)
                .action(ArgAction::SetTrue)
                .help("Print JSON"),
        )
        .subcommand(configuration::command())
        .subcommand(demo::command())
        .subcommand(environment::command())
        .subcommand(zone::command())
        .subcommand(status::command())
        .subcommand(status::voter_command())
        .subcommand(explain::command())
        .subcommand(keys::command())
        .subcommand(standin::command())
        .subcommand(crate::bench::command())
}

/// Runs the subcommand that the command line names.
///
/// # Errors
///
/// The error of the subcommand.
pub async fn run(matches: &ArgMatches) -> Result<(), Error> {
    match matches.subcommand() {
        Some(("config", sub)) => configuration::run(sub, is_json(matches)),
        Some(("demo", _)) => demo::run().await,
        Some(("env", sub)) => environment::run(&client(matches), sub, is_json(matches)).await,
        Some(("zone", sub)) => zone::run(&client(matches), sub, is_json(matches)).await,
        Some(("status", _)) => status::run(&client(matches), is_json(matches)).await,
        Some(("voter", sub)) => status::run_voter(&client(matches), sub).await,
        Some(("explain", sub)) => explain::run(sub),
        Some(("keys", sub)) => keys::run(sub),
        Some(("standin", sub)) => standin::run(sub).await,
        Some(("bench", sub)) => crate::bench::run(sub).await,
        _ => Err(Error::Input("no such command".to_owned())),
    }
}

fn is_json(matches: &ArgMatches) -> bool {
    matches.get_flag("json")
}

fn client(matches: &ArgMatches) -> Client {
    let addresses: Vec<String> = matches
        .get_many::<String>("control")
        .into_iter()
        .flatten()
        .cloned()
        .collect();
    let key = std::env::var(KEY_VARIABLE).unwrap_or_default();
    Client::new(&addresses, &key)
}
