//! Faults that tests and users of the stand-ins inject.

use serde::Deserialize;
use serde::Serialize;

/// Fault of a VM; the one set last is in force.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Becomes cold again without reporting it.
    Cold,
    /// Restarts: new incarnation, no model loaded, open calls aborted.
    Restart,
    /// Accepts calls and never answers them; reports are still sent.
    Silent,
    /// Answers no request but `/fault` and `/counts`, and announces nothing.
    Dead,
    /// Pauses within each answer for longer than an entry waits for the next token, then
    /// continues.
    Late,
    /// Ends each answer early, without its end mark, and closes the stream properly.
    Truncate,
    /// Marks its answers with the identity of another request.
    Cross,
    /// Reports that it is leaving.
    Leave,
    /// Runs the call and closes the connection without an answer.
    DropAnswer,
}
