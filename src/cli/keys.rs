//! `heatherramp keys`: deployment keys, and digests of client and operator keys.

use std::io::Read;
use std::path::Path;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;

use super::Error;
use crate::adapters::quic;
use crate::domain::environment;

/// Command line of `keys`.
pub(super) fn command() -> Command {
    Command::new("keys")
        .about("Create deployment keys and digests of client and operator keys")
        .subcommand_required(true)
        .subcommand(
            Command::new("make")
                .about("Create the certificate authority, unless it exists, and a new certificate for one process")
                .arg(Arg::new("folder").required(true).help("Folder of the keys")),
        )
        .subcommand(Command::new("digest").about("Print the digest of the key on standard input"))
}

/// Runs `keys`.
pub(super) fn run(matches: &ArgMatches) -> Result<(), Error> {
    match matches.subcommand() {
        Some(("make", matches)) => {
            let folder = matches.get_one::<String>("folder").expect("required");
            quic::make_keys(Path::new(folder)).map_err(|report| Error::Input(format!("{report:?}")))
        }
        Some(("digest", _)) => {
            let mut key = String::new();
            let read = std::io::stdin().read_to_string(&mut key);
            read.map_err(|e| Error::Input(e.to_string()))?;
            println!("{}", environment::digest_key(key.trim()));
            Ok(())
        }
        _ => Err(Error::Input("no such command".to_owned())),
    }
}
