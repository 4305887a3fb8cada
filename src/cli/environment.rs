//! `heatherramp env`: environment documents and their versions on trial and in production.

use clap::Arg;
use clap::ArgMatches;
use clap::Command;

use super::Error;
use super::client::Client;
use super::wait;
use crate::domain::state::Change;
use crate::domain::state::Configuration;
use crate::domain::state::Stage;
use crate::settings::jsonc;

fn environment_argument() -> Arg {
    Arg::new("environment")
        .required(true)
        .help("Name of the environment")
}

fn number_option(id: &'static str, help: &'static str) -> Arg {
    Arg::new(id)
        .long(id)
        .value_parser(clap::value_parser!(u64))
        .help(help)
}

/// Command line of `env`.
pub(super) fn command() -> Command {
    Command::new("env")
        .about("Manage environment documents")
        .subcommand_required(true)
        .subcommand(
            Command::new("submit")
                .about("Submit a document as a new version on trial")
                .arg(
                    Arg::new("file")
                        .required(true)
                        .help("Document, JSON with comments"),
                )
                .arg(number_option(
                    "base",
                    "Newest version you have seen; if a newer one exists, the command fails; default: the newest one",
                )),
        )
        .subcommand(
            Command::new("promote")
                .about("Make the version on trial the production version")
                .arg(environment_argument())
                .arg(number_option(
                    "version",
                    "Version on trial; default: the current one",
                ))
                .arg(number_option(
                    "base",
                    "Production version you have seen; if it has changed, the command fails; default: the current one",
                )),
        )
        .subcommand(
            Command::new("rollback")
                .about("Make an earlier production version current, as a new version")
                .arg(environment_argument())
                .arg(number_option("to", "Version to restore").required(true)),
        )
        .subcommand(
            Command::new("show")
                .about("Print the production document")
                .arg(environment_argument()),
        )
        .subcommand(
            Command::new("history")
                .about("List the versions")
                .arg(environment_argument()),
        )
        .subcommand(
            Command::new("diff")
                .about("Compare two versions line by line")
                .arg(environment_argument())
                .arg(number_option("from", "Earlier version").required(true))
                .arg(number_option("to", "Later version").required(true)),
        )
        .subcommand(
            Command::new("wait")
                .about("Wait until the last change is in force on every entry")
                .arg(environment_argument())
                .arg(number_option("seconds", "Longest wait in seconds; default: 6")),
        )
}

/// Runs `env`.
pub(super) async fn run(client: &Client, matches: &ArgMatches, json: bool) -> Result<(), Error> {
    let Some((verb, matches)) = matches.subcommand() else {
        return Err(Error::Input("no such command".to_owned()));
    };
    if verb == "submit" {
        return submit(client, matches, json).await;
    }
    let name = matches.get_one::<String>("environment").expect("required");
    let number = |id: &str| matches.get_one::<u64>(id).copied();
    let status = client.status().await?;
    let configuration = status.state.environments.get(name);
    let configuration = configuration.ok_or_else(|| Error::Refused(format!("no environment {name}")))?;
    match verb {
        "promote" => {
            let change = Change::Promote {
                environment: name.clone(),
                version: number("version").or(configuration.trial).unwrap_or(0),
                base: number("base").or(configuration.production).unwrap_or(0),
            };
            print_accepted(client.change(&change).await?, json);
        }
        "rollback" => {
            let change = Change::Rollback {
                environment: name.clone(),
                to: number("to").unwrap_or(0),
                base: configuration.newest_number(),
            };
            print_accepted(client.change(&change).await?, json);
        }
        "show" => print_production(configuration, json)?,
        "history" => print_history(configuration, json),
        "diff" => print_diff(configuration, number("from"), number("to"))?,
        "wait" => {
            let index = configuration.changed;
            // A document is in force nowhere while no entry has joined.
            wait::until_in_force(client, index, true, number("seconds").unwrap_or(6)).await?;
        }
        _ => return Err(Error::Input("no such command".to_owned())),
    }
    Ok(())
}

async fn submit(client: &Client, matches: &ArgMatches, json: bool) -> Result<(), Error> {
    let file = matches.get_one::<String>("file").expect("required");
    let text = std::fs::read_to_string(file).map_err(|e| Error::Input(format!("{file}: {e}")))?;
    let value: serde_json::Value = jsonc::parse(&text).map_err(|e| Error::Input(e.to_string()))?;
    let environment = value["environment"].as_str().unwrap_or("").to_owned();
    let base = match matches.get_one::<u64>("base") {
        Some(base) => *base,
        None => {
            let status = client.status().await?;
            let known = status.state.environments.get(&environment);
            known.map_or(0, Configuration::newest_number)
        }
    };
    let change = Change::Submit {
        environment,
        base,
        text,
    };
    print_accepted(client.change(&change).await?, json);
    Ok(())
}

fn print_accepted((version, index): (u64, u64), json: bool) {
    if json {
        println!("{}", serde_json::json!({"version": version, "index": index}));
    } else {
        println!("accepted as version {version} at log index {index}");
    }
}

fn print_production(configuration: &Configuration, json: bool) -> Result<(), Error> {
    let version = configuration.current(Stage::Production);
    let version = version.ok_or_else(|| Error::Refused("no version is in production".to_owned()))?;
    if json {
        println!("{}", serde_json::to_string(version).unwrap_or_default());
    } else {
        println!("// version {} by {}", version.number, version.operator);
        println!("{}", version.text);
    }
    Ok(())
}

fn print_history(configuration: &Configuration, json: bool) {
    for version in &configuration.versions {
        let stage = match Some(version.number) {
            n if n == configuration.production => "production",
            n if n == configuration.trial => "trial",
            _ => "",
        };
        if json {
            let line = serde_json::json!({
                "version": version.number, "operator": version.operator,
                "index": version.index, "setting": stage,
            });
            println!("{line}");
        } else {
            println!(
                "{:>6}  {:<20} {:>10}  {stage}",
                version.number, version.operator, version.index
            );
        }
    }
}

fn print_diff(configuration: &Configuration, from: Option<u64>, to: Option<u64>) -> Result<(), Error> {
    let text = |number: Option<u64>| {
        let version = number.and_then(|n| configuration.version(n));
        version
            .map(|v| v.text.as_str())
            .ok_or_else(|| Error::Refused(format!("version {} is not stored", number.unwrap_or(0))))
    };
    let diff = similar::TextDiff::from_lines(text(from)?, text(to)?);
    print!("{}", diff.unified_diff());
    Ok(())
}
