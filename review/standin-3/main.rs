//! Stand-ins of the review's scripts: a small deployment of the project's own programs on loopback addresses, with
//! clients, an operator and replicas that speak as the users' pages say.
//!
//! `driver CASE FOLDER` plays one case, writes `FOLDER/record.txt`, and exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod cases;
mod engine;
mod http;
mod operator;
mod record;
mod replica;
mod site;
mod world;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// What a case has found.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: driver CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case {case}, trouble {has_trouble}"));
    let played = cases::play(case, has_trouble, &record);
    let (text, code) = match played {
        Ok(Verdict::Held) => ("the rule held".to_owned(), 0),
        Ok(Verdict::Broken) => ("the rule was broken".to_owned(), 1),
        Err(reason) => (format!("could not run: {reason}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
