//! What the owned replicas of one environment and stage share.

use std::time::Duration;

use super::Queue;
use crate::domain::environment::Document;
use crate::domain::state::Stage;

/// Weight of a new sample in the moving averages, in percent.
const SAMPLE_WEIGHT_PERCENT: u32 = 10;

/// Moving averages of response times, over the replicas of one environment and stage.
///
/// Zero means that there is no sample yet.
#[derive(Clone, Copy, Debug, Default)]
pub struct Latency {
    /// Time from dispatch to the first part of a response, at warm replicas.
    pub first_byte: Duration,
    /// Time from dispatch to the end of a response.
    pub total: Duration,
}

/// Queue, response times and document of one environment and stage.
#[derive(Clone, Debug, Default)]
pub(super) struct Pool {
    pub(super) queue: Queue,
    pub(super) latency: Latency,
    pub(super) document: Option<Document>,
}

/// Name of the environment, and stage.
pub(super) type Key = (String, Stage);

/// Moving average after a new sample.
pub(super) fn moving_average(average: Duration, sample: Duration) -> Duration {
    average * (100 - SAMPLE_WEIGHT_PERCENT) / 100 + sample * SAMPLE_WEIGHT_PERCENT / 100
}
