//! Commands that the replicated state machine applies.

use serde::Deserialize;
use serde::Serialize;

use super::Call;
use super::Entry;
use super::Member;
use super::Outcome;
use super::Stage;

/// Change that an operator requests; a retried request gets the first reply again.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Add a document as a new version and put it on trial.
    Submit {
        /// Name of the document's environment.
        environment: String,
        /// Newest version that the operator knows, 0 for none.
        base: u64,
        /// Text of the document.
        text: String,
    },
    /// Make the version on trial the production version.
    Promote {
        /// Name of the environment.
        environment: String,
        /// Version on trial.
        version: u64,
        /// Production version that the operator knows, 0 for none.
        base: u64,
    },
    /// Copy an earlier production version to a new version and put that in production.
    Rollback {
        /// Name of the environment.
        environment: String,
        /// Version to copy.
        to: u64,
        /// Newest version that the operator knows.
        base: u64,
    },
    /// Take an availability zone out of service, or back in.
    SetZone {
        /// Name of the availability zone.
        zone: String,
        /// Whether it is out of service.
        out: bool,
    },
}

/// Command for the replicated state machine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Change of an operator.
    Operate {
        /// Name of the operator.
        operator: String,
        /// Identifier of the request; a retried request carries the same one.
        request: String,
        /// The change.
        change: Change,
    },
    /// Start an entry's session.
    Join {
        /// Session identity.
        session: String,
        /// Address and availability zone of the entry.
        entry: Entry,
    },
    /// End an entry's session; the outcome of its running ledger calls becomes unknown.
    Leave {
        /// Session identity.
        session: String,
    },
    /// Form a group, or replace the members of one.
    Claim {
        /// Number of the group whose members are replaced, or none for a new group.
        group: Option<u64>,
        /// Fencing token of the group that the leader knows, 0 for a new group.
        base: u64,
        /// Name of the environment that the group serves.
        environment: String,
        /// Stage that the group serves.
        stage: Stage,
        /// Document version whose model the group loads.
        version: u64,
        /// Name of the availability zone.
        zone: String,
        /// Fabric domain of all members.
        domain: String,
        /// Members; the first one answers calls.
        members: Vec<Member>,
    },
    /// Stop new work at a group, before it is changed or dissolved.
    Drain {
        /// Number of the group.
        group: u64,
    },
    /// Dissolve a group.
    Release {
        /// Number of the group.
        group: u64,
    },
    /// Change the owner of a group.
    Assign {
        /// Number of the group.
        group: u64,
        /// Ownership epoch of the group that the leader knows.
        epoch: u64,
        /// Session of the new owner, or none so that the old one gives up the group.
        owner: Option<String>,
    },
    /// Claim the right to run a non-repeatable call.
    Begin {
        /// The call.
        call: Call,
        /// Unique identifier of the attempt.
        attempt: String,
        /// Session of the entry that makes the attempt.
        session: String,
    },
    /// Record how an attempt ended.
    Finish {
        /// The call.
        call: Call,
        /// Identifier of the attempt that ended.
        attempt: String,
        /// How it ended.
        outcome: Outcome,
    },
    /// Remove ended calls from the ledger that arrived longer ago than the retention.
    Forget {
        /// Wall clock time of a control process, in milliseconds since the Unix epoch.
        now_ms: u64,
        /// Retention, in milliseconds.
        retention_ms: u64,
    },
}

impl Command {
    /// Whether the command changes only the ledger, of which entries hold no copy.
    pub fn is_ledger_only(&self) -> bool {
        matches!(
            self,
            Command::Begin { .. } | Command::Finish { .. } | Command::Forget { .. }
        )
    }
}
