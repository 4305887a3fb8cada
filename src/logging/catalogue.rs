//! Constants for all log events.

use log::Level;

use super::Event;

/// A daemon accepts connections.
pub const PROCESS_STARTED: Event = Event {
    code: 101,
    level: Level::Info,
    name: "process_started",
    module: "settings",
};
/// A shutdown was requested by a signal; readiness checks fail from now on.
pub const SHUTDOWN_STARTED: Event = Event {
    code: 102,
    level: Level::Info,
    name: "shutdown_started",
    module: "entry",
};
/// All work has ended and the process exits.
pub const PROCESS_STOPPED: Event = Event {
    code: 103,
    level: Level::Info,
    name: "process_stopped",
    module: "entry",
};
/// This control process became the leader or lost the leadership.
pub const LEADER_CHANGED: Event = Event {
    code: 201,
    level: Level::Info,
    name: "leader_changed",
    module: "control",
};
/// A placement, ownership or session command was committed.
pub const PLACEMENT_DECIDED: Event = Event {
    code: 202,
    level: Level::Info,
    name: "placement_decided",
    module: "control",
};
/// An order is sent to a VM.
pub const ORDER_SENT: Event = Event {
    code: 203,
    level: Level::Info,
    name: "order_sent",
    module: "control",
};
/// A VM refused an order or did not answer it; it is sent again.
pub const ORDER_FAILED: Event = Event {
    code: 204,
    level: Level::Warn,
    name: "order_failed",
    module: "control",
};
/// An announcement is malformed or contradicts an earlier one.
pub const ANNOUNCEMENT_REFUSED: Event = Event {
    code: 205,
    level: Level::Warn,
    name: "announcement_refused",
    module: "control",
};
/// A change requested by an operator, and its reply.
pub const OPERATOR_CHANGE: Event = Event {
    code: 206,
    level: Level::Info,
    name: "operator_change",
    module: "control",
};
/// A write or sync of the data folder failed; the control process exits.
pub const STORAGE_FAILED: Event = Event {
    code: 207,
    level: Level::Error,
    name: "storage_failed",
    module: "control",
};
/// An entry chose the owner for a call.
pub const CALL_ROUTED: Event = Event {
    code: 301,
    level: Level::Info,
    name: "call_routed",
    module: "entry",
};
/// An owner sent a call to a replica.
pub const CALL_STARTED: Event = Event {
    code: 302,
    level: Level::Info,
    name: "call_started",
    module: "entry",
};
/// A call was refused; nothing of it ran.
pub const CALL_REFUSED: Event = Event {
    code: 303,
    level: Level::Info,
    name: "call_refused",
    module: "entry",
};
/// A call ended with its outcome.
pub const CALL_ENDED: Event = Event {
    code: 304,
    level: Level::Info,
    name: "call_ended",
    module: "entry",
};
/// An attempt broke off; it is resumed if the call allows that.
pub const ATTEMPT_FAILED: Event = Event {
    code: 305,
    level: Level::Warn,
    name: "attempt_failed",
    module: "entry",
};
/// The entry has no valid lease and dispatches nothing.
pub const LEASE_LOST: Event = Event {
    code: 306,
    level: Level::Warn,
    name: "lease_lost",
    module: "entry",
};
/// The entry holds a lease, for the first time or again after its loss.
pub const LEASE_GAINED: Event = Event {
    code: 307,
    level: Level::Info,
    name: "lease_gained",
    module: "entry",
};
/// An owned replica lost a member or is leaving; it gets no new calls.
pub const REPLICA_CLOSED: Event = Event {
    code: 308,
    level: Level::Warn,
    name: "replica_closed",
    module: "entry",
};
/// Probes have shown that all members of an owned replica are present.
pub const REPLICA_OPENED: Event = Event {
    code: 309,
    level: Level::Info,
    name: "replica_opened",
    module: "entry",
};

/// Log lines were dropped because standard output was not read in time.
pub const LINES_DROPPED: Event = Event {
    code: 104,
    level: Level::Warn,
    name: "lines_dropped",
    module: "logging",
};
/// A gateway read its settings file again for new seeds, or SIGHUP arrived, which reloads nothing.
pub const SETTINGS_RELOADED: Event = Event {
    code: 105,
    level: Level::Info,
    name: "settings_reloaded",
    module: "settings",
};
/// The lease on the catalog expired because no controller renewed it; requests are refused.
pub const CONTROLLER_LOST: Event = Event {
    code: 401,
    level: Level::Warn,
    name: "controller_lost",
    module: "gateway",
};
/// A controller granted the lease on the catalog for the first time, or again after its loss.
pub const CONTROLLER_FOUND: Event = Event {
    code: 402,
    level: Level::Info,
    name: "controller_found",
    module: "gateway",
};
/// This gateway applied a newer catalog.
pub const CATALOG_APPLIED: Event = Event {
    code: 403,
    level: Level::Info,
    name: "catalog_applied",
    module: "gateway",
};
/// The leader sent a different list of targets.
pub const TARGETS_CHANGED: Event = Event {
    code: 404,
    level: Level::Info,
    name: "targets_changed",
    module: "gateway",
};
/// A request is sent to a target; logs the load on which the choice was based.
pub const REQUEST_SENT: Event = Event {
    code: 405,
    level: Level::Info,
    name: "request_sent",
    module: "gateway",
};
/// A request was refused; nothing of it ran.
pub const REQUEST_REFUSED: Event = Event {
    code: 406,
    level: Level::Info,
    name: "request_refused",
    module: "gateway",
};
/// A request ended with an answer to the caller, or a run of its stream ended without breaking.
pub const REQUEST_ENDED: Event = Event {
    code: 407,
    level: Level::Info,
    name: "request_ended",
    module: "gateway",
};
/// One send of a request failed or its stream broke; it is retried if the route allows that.
pub const SEND_FAILED: Event = Event {
    code: 408,
    level: Level::Warn,
    name: "send_failed",
    module: "gateway",
};
/// Reserved for a summary of requests without lines of their own; nothing logs it.
pub const REQUESTS_SUMMED: Event = Event {
    code: 409,
    level: Level::Info,
    name: "requests_summed",
    module: "gateway",
};
/// A target gets no requests for a while after repeated failures.
pub const TARGET_EJECTED: Event = Event {
    code: 410,
    level: Level::Warn,
    name: "target_ejected",
    module: "gateway",
};
/// A target has said that it shuts down or wants no requests for a while.
pub const TARGET_NOTICE: Event = Event {
    code: 411,
    level: Level::Info,
    name: "target_notice",
    module: "gateway",
};
/// The answer to a caller was aborted before its stream was complete.
pub const STREAM_ABORTED: Event = Event {
    code: 412,
    level: Level::Warn,
    name: "stream_aborted",
    module: "gateway",
};
/// A target names another rate limit than before, in requests per second, or none any more.
pub const TARGET_LIMIT: Event = Event {
    code: 413,
    level: Level::Info,
    name: "target_limit",
    module: "gateway",
};
/// Another gateway connects to a target that this one does not reach on its own link.
pub const DETOUR_TAKEN: Event = Event {
    code: 414,
    level: Level::Info,
    name: "detour_taken",
    module: "gateway",
};
/// This gateway does not reach several targets that other gateways reach.
pub const GATEWAY_PARTITIONED: Event = Event {
    code: 415,
    level: Level::Warn,
    name: "gateway_partitioned",
    module: "gateway",
};
/// This gateway reaches its targets again.
pub const GATEWAY_RESTORED: Event = Event {
    code: 416,
    level: Level::Info,
    name: "gateway_restored",
    module: "gateway",
};
/// The memory that callers make this gateway hold has reached its budget; requests are refused or dropped.
pub const MEMORY_SHORT: Event = Event {
    code: 417,
    level: Level::Warn,
    name: "memory_short",
    module: "gateway",
};
/// The memory budget has refused nothing for a while.
pub const MEMORY_FREE: Event = Event {
    code: 418,
    level: Level::Info,
    name: "memory_free",
    module: "gateway",
};
/// This controller became the leader or lost the leadership.
pub const FLEET_LEADERSHIP: Event = Event {
    code: 501,
    level: Level::Info,
    name: "fleet_leadership",
    module: "fleet",
};
/// A change of the replicated state was committed.
pub const FLEET_COMMITTED: Event = Event {
    code: 502,
    level: Level::Info,
    name: "fleet_committed",
    module: "fleet",
};
/// The head of a group reports that it takes requests.
pub const GROUP_OPENED: Event = Event {
    code: 503,
    level: Level::Info,
    name: "group_opened",
    module: "fleet",
};
/// A group is closed because a member failed or left.
pub const GROUP_LOST: Event = Event {
    code: 504,
    level: Level::Warn,
    name: "group_lost",
    module: "fleet",
};
/// A VM accepted an order.
pub const VM_ORDERED: Event = Event {
    code: 505,
    level: Level::Info,
    name: "vm_ordered",
    module: "fleet",
};
/// A VM refused an order or did not answer it; it is sent again while it still applies.
pub const VM_ORDER_FAILED: Event = Event {
    code: 506,
    level: Level::Warn,
    name: "vm_order_failed",
    module: "fleet",
};
/// A heartbeat could not be decoded.
pub const HEARTBEAT_REFUSED: Event = Event {
    code: 507,
    level: Level::Warn,
    name: "heartbeat_refused",
    module: "fleet",
};
/// A catalog was refused; logs the reason.
pub const CATALOG_REFUSED: Event = Event {
    code: 508,
    level: Level::Warn,
    name: "catalog_refused",
    module: "fleet",
};
/// A write failed and is retried; nothing is acknowledged until it succeeds.
pub const STORAGE_WAITS: Event = Event {
    code: 509,
    level: Level::Error,
    name: "storage_waits",
    module: "fleet",
};
/// A write succeeded after earlier failures.
pub const STORAGE_RESUMED: Event = Event {
    code: 510,
    level: Level::Info,
    name: "storage_resumed",
    module: "fleet",
};
/// This controller asked to join the replicated log: it is no member, or knows no leader.
pub const JOIN_REQUESTED: Event = Event {
    code: 511,
    level: Level::Info,
    name: "join_requested",
    module: "fleet",
};
/// Requests with a prompt part, or with the fingerprint of one request, are refused from now on; logs the crashes that it explains and their targets.
pub const PART_QUARANTINED: Event = Event {
    code: 512,
    level: Level::Warn,
    name: "part_quarantined",
    module: "fleet",
};
/// Requests with a prompt part or a fingerprint are sent again.
pub const PART_RELEASED: Event = Event {
    code: 513,
    level: Level::Info,
    name: "part_released",
    module: "fleet",
};
/// An operator takes a zone out of service in which no VM has said to be; the name may be misspelt.
pub const ZONE_UNNAMED: Event = Event {
    code: 515,
    level: Level::Warn,
    name: "zone_unnamed",
    module: "fleet",
};
/// Connections of gateways are refused, for the first time or again after a while; logs the limit.
pub const INTAKE_LIMITED: Event = Event {
    code: 514,
    level: Level::Warn,
    name: "intake_limited",
    module: "fleet",
};

/// All events, in order of their numbers.
pub const ALL: &[Event] = &[
    PROCESS_STARTED,
    SHUTDOWN_STARTED,
    PROCESS_STOPPED,
    LINES_DROPPED,
    SETTINGS_RELOADED,
    LEADER_CHANGED,
    PLACEMENT_DECIDED,
    ORDER_SENT,
    ORDER_FAILED,
    ANNOUNCEMENT_REFUSED,
    OPERATOR_CHANGE,
    STORAGE_FAILED,
    CALL_ROUTED,
    CALL_STARTED,
    CALL_REFUSED,
    CALL_ENDED,
    ATTEMPT_FAILED,
    LEASE_LOST,
    LEASE_GAINED,
    REPLICA_CLOSED,
    REPLICA_OPENED,
    CONTROLLER_LOST,
    CONTROLLER_FOUND,
    CATALOG_APPLIED,
    TARGETS_CHANGED,
    REQUEST_SENT,
    REQUEST_REFUSED,
    REQUEST_ENDED,
    SEND_FAILED,
    REQUESTS_SUMMED,
    TARGET_EJECTED,
    TARGET_NOTICE,
    STREAM_ABORTED,
    TARGET_LIMIT,
    DETOUR_TAKEN,
    GATEWAY_PARTITIONED,
    GATEWAY_RESTORED,
    MEMORY_SHORT,
    MEMORY_FREE,
    FLEET_LEADERSHIP,
    FLEET_COMMITTED,
    GROUP_OPENED,
    GROUP_LOST,
    VM_ORDERED,
    VM_ORDER_FAILED,
    HEARTBEAT_REFUSED,
    CATALOG_REFUSED,
    STORAGE_WAITS,
    STORAGE_RESUMED,
    JOIN_REQUESTED,
    PART_QUARANTINED,
    PART_RELEASED,
    INTAKE_LIMITED,
    ZONE_UNNAMED,
];
