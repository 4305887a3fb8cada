//! `heatherramp status` and `heatherramp voter`.

use clap::Arg;
use clap::ArgMatches;
use clap::Command;

use super::Error;
use super::client::Client;
use crate::domain::control::Status;

/// Command line of `status`.
pub(super) fn command() -> Command {
    Command::new("status").about("Print the state of the system")
}

/// Command line of `voter`.
pub(super) fn voter_command() -> Command {
    Command::new("voter")
        .about("Manage the control processes that vote")
        .subcommand_required(true)
        .subcommand(
            Command::new("add")
                .about("Add a control process whose data folder was made with --join")
                .arg(
                    Arg::new("identity")
                        .required(true)
                        .help("Identity that --join printed"),
                ),
        )
}

/// Runs `voter`.
pub(super) async fn run_voter(client: &Client, matches: &ArgMatches) -> Result<(), Error> {
    let Some(("add", matches)) = matches.subcommand() else {
        return Err(Error::Input("no such command".to_owned()));
    };
    let identity = matches.get_one::<String>("identity").expect("required");
    client.add_voter(identity).await?;
    println!("{identity} learns the log and votes once it has caught up");
    Ok(())
}

/// Runs `status`.
pub(super) async fn run(client: &Client, json: bool) -> Result<(), Error> {
    let status = client.status().await?;
    if json {
        println!("{}", serde_json::to_string_pretty(&status).unwrap_or_default());
    } else {
        print_status(&status);
    }
    Ok(())
}

fn print_status(status: &Status) {
    println!("leader   {} in term {}", status.leader, status.term);
    println!("voters   {}", status.voters.join(", "));
    if !status.learners.is_empty() {
        println!("learners {}", status.learners.join(", "));
    }
    println!("index    {}", status.state.index);
    println!("broken groups          {}", status.broken_groups);
    println!("stranded accelerators  {}", status.stranded_accelerators);
    println!("keys in the ledger     {}", status.ledger_keys);
    println!("entries");
    for (session, entry) in &status.state.entries {
        let applied = status.applied.get(session).copied().unwrap_or(0);
        println!(
            "  {session}  {}  {}  applied {applied}",
            entry.zone, entry.address
        );
    }
    println!("availability zones out");
    for (zone, _) in status.state.zones.iter().filter(|(_, z)| z.out) {
        println!("  {zone}");
    }
    println!("groups");
    for group in status.state.groups.values() {
        let members: Vec<&str> = group.members.iter().map(|m| m.vm.as_str()).collect();
        let ready = members.iter().all(|vm| {
            let vm = status.vms.get(*vm);
            vm.is_some_and(|vm| vm.present && vm.ready && vm.fence == group.fence)
        });
        println!(
            "  {:>6}  {} {:?}  {}  {}  {}  owner {}",
            group.id,
            group.environment,
            group.stage,
            group.zone,
            if ready { "complete" } else { "incomplete" },
            members.join(","),
            group.owner.as_deref().unwrap_or("none"),
        );
    }
}
