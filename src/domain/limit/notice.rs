//! What gateways report of limits.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::Limit;

/// Limit of one target, as a gateway knows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Notice {
    /// Identifier of the target.
    pub target: String,
    /// Incarnation of the target.
    pub incarnation: u64,
    /// The limit.
    pub limit: Limit,
    /// Time since the gateway learned of it, in milliseconds.
    pub age_ms: u64,
}

impl Notice {
    /// Latest notice of each target.
    pub fn latest(notices: impl IntoIterator<Item = Notice>) -> Vec<Notice> {
        let mut latest: BTreeMap<String, Notice> = BTreeMap::new();
        for notice in notices {
            let known = latest.get(&notice.target);
            if known.is_none_or(|k| (k.incarnation, notice.age_ms) < (notice.incarnation, k.age_ms)) {
                latest.insert(notice.target.clone(), notice);
            }
        }
        latest.into_values().collect()
    }
}

/// Permits of one target that a gateway asks for and gives back.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ask {
    /// Permits that the gateway has use for.
    pub wanted: u32,
    /// Permits that it has not used in time.
    pub returned: u32,
}
