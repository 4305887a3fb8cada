//! The operator command `heatherramp`.

use std::process::ExitCode;

use heatherramp::cli;
use heatherramp::logging;

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    logging::start_text();
    let runtime = tokio::runtime::Runtime::new().expect("threads can be started");
    match runtime.block_on(cli::run(&matches)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("heatherramp: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
