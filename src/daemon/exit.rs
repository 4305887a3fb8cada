//! Exit codes, after sysexits.h.

use std::process::ExitCode;

/// The settings or the data folder cannot be used (EX_CONFIG).
const CONFIG: u8 = 78;
/// A resource of the machine is not available (EX_UNAVAILABLE).
const UNAVAILABLE: u8 = 69;

/// Exit code for the end of a program; an error is printed to standard error.
pub fn exit_code<E: std::fmt::Debug>(result: Result<(), E>, is_settings: bool) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::from(if is_settings { CONFIG } else { UNAVAILABLE })
        }
    }
}
