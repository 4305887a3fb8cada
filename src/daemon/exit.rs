//! Exit codes of the daemons, after sysexits.h.

use std::process::ExitCode;

/// The settings or the data folder cannot be used (EX_CONFIG).
const CONFIG: u8 = 78;
/// An address or another resource of the machine is not available (EX_UNAVAILABLE).
const UNAVAILABLE: u8 = 69;

/// Exit code of a program that ended with `result`; prints an error to standard error.
///
/// `is_config` tells whether an error concerns the settings or the data folder.
pub fn exit_code<E: std::fmt::Debug>(result: Result<(), E>, is_config: bool) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::from(if is_config { CONFIG } else { UNAVAILABLE })
        }
    }
}
