//! `heatherramp config`: check of a configuration of the platform before it is sent. It changes nothing.

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use http::StatusCode;
use serde_json::json;

use super::Error;
use crate::domain::catalog::Definition;
use crate::domain::catalog::Difference;
use crate::domain::catalog::Finding;
use crate::domain::catalog::differences;
use crate::domain::catalog::review;
use crate::platform::configuration;

/// Command line of `config`.
pub(super) fn command() -> Command {
    let file = Arg::new("file")
        .required(true)
        .help("Configuration as it would be sent");
    let against = Arg::new("against")
        .long("against")
        .help("Configuration in force, to report the differences");
    Command::new("config")
        .about("Check a configuration of the platform")
        .subcommand_required(true)
        .subcommand(
            Command::new("check")
                .about("Report errors, warnings and differences; exit code 0 sound, 1 warnings, 2 errors")
                .arg(file)
                .arg(against),
        )
}

/// Runs `config`.
pub(super) fn run(matches: &ArgMatches, is_json: bool) -> Result<(), Error> {
    let Some(("check", matches)) = matches.subcommand() else {
        return Err(Error::Input("no such command".to_owned()));
    };
    let file = matches.get_one::<String>("file").expect("required");
    let against = matches.get_one::<String>("against");
    let in_force = against.map(|file| {
        let checked = check(&read(file)?);
        checked.map_err(|refusal| Error::Input(format!("{file}: {}", refusal.text)))
    });
    let in_force = in_force.transpose()?;
    let report = Report::new(&read(file)?, in_force.as_ref());
    match is_json {
        true => println!("{}", report.json()),
        false => print!("{}", report.text()),
    }
    report.result()
}

fn read(file: &str) -> Result<Vec<u8>, Error> {
    std::fs::read(file).map_err(|e| Error::Input(format!("{file}: {e}")))
}

/// Answer with which controllers would refuse a configuration.
struct Refusal {
    status: StatusCode,
    text: String,
}

fn check(body: &[u8]) -> Result<Definition, Refusal> {
    if body.len() > configuration::MAX_BYTES {
        return Err(Refusal {
            status: StatusCode::PAYLOAD_TOO_LARGE,
            text: "the body is too large or was cut".to_owned(),
        });
    }
    configuration::check(body).map_err(|text| Refusal {
        status: StatusCode::BAD_REQUEST,
        text,
    })
}

/// What is known of a configuration.
struct Report {
    refusal: Option<Refusal>,
    warnings: Vec<(&'static str, String, String)>,
    differences: Vec<Difference>,
}

impl Report {
    fn new(body: &[u8], in_force: Option<&Definition>) -> Self {
        let definition = match check(body) {
            Ok(definition) => definition,
            Err(refusal) => {
                return Report {
                    refusal: Some(refusal),
                    warnings: Vec::new(),
                    differences: Vec::new(),
                };
            }
        };
        let to_warning = |f: Finding| (f.kind.name(), f.path, f.reason);
        let mut warnings: Vec<_> = review(&definition).into_iter().map(to_warning).collect();
        let newer = in_force.filter(|in_force| in_force.version >= definition.version);
        warnings.extend(newer.map(|in_force| {
            let reason = format!(
                "{} is not above {}, which is in force, so it would change nothing",
                definition.version, in_force.version
            );
            ("version", "version".to_owned(), reason)
        }));
        Report {
            refusal: None,
            warnings,
            differences: in_force.map_or_else(Vec::new, |in_force| differences(in_force, &definition)),
        }
    }

    fn result(&self) -> Result<(), Error> {
        match (&self.refusal, self.warnings.len()) {
            (Some(_), _) => Err(Error::Invalid),
            (None, 0) => Ok(()),
            (None, count) => Err(Error::Warnings(count)),
        }
    }

    fn text(&self) -> String {
        let refusal = self.refusal.iter();
        let errors = refusal.map(|r| format!("error {}: {}\n", r.status.as_u16(), r.text));
        let warnings = self.warnings.iter();
        let warnings = warnings.map(|(kind, path, reason)| format!("warning ({kind}): {path}: {reason}\n"));
        let value = |value: &Option<String>| value.clone().unwrap_or_else(|| "absent".to_owned());
        let differences = self.differences.iter();
        let differences = differences.map(|d| {
            format!(
                "changed: {}: {} -> {}\n",
                d.path,
                value(&d.before),
                value(&d.after)
            )
        });
        let lines: String = errors.chain(warnings).chain(differences).collect();
        match self.result() {
            Ok(()) => lines + "sound\n",
            Err(_) => lines,
        }
    }

    fn json(&self) -> serde_json::Value {
        let errors = self.refusal.iter().map(|r| {
            let (path, reason) = r.text.split_once(": ").unwrap_or(("", &r.text));
            json!({"code": r.status.as_u16(), "path": path, "reason": reason, "text": r.text})
        });
        let warnings = self.warnings.iter();
        let warnings =
            warnings.map(|(kind, path, reason)| json!({"kind": kind, "path": path, "reason": reason}));
        let differences = self.differences.iter();
        let differences = differences.map(|d| json!({"path": d.path, "before": d.before, "after": d.after}));
        json!({
            "errors": errors.collect::<Vec<_>>(),
            "warnings": warnings.collect::<Vec<_>>(),
            "differences": differences.collect::<Vec<_>>(),
        })
    }
}
