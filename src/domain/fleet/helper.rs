//! Gateways that open connections to targets on behalf of others.
//!
//! A gateway that cannot reach a target turns to one of its helpers. Each controller passes the helpers that
//! report to it on to the leader, and the leader's list comes back to all controllers. A gateway gets a few of
//! that list, chosen by rendezvous hashing so that gateways which lose their links at the same time turn to
//! different helpers.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::relay::Gateway;
use super::relay::Relay;
use super::relay::is_fresh;

/// Helpers of one gateway in its own availability zone, and as many in others.
const HELPERS_PER_SIDE: usize = 4;

/// Gateway that opens connections to targets on behalf of others.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Helper {
    /// Address for other gateways.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Region; a gateway has helpers in its own region only.
    pub region: String,
}

/// Helpers with the revision of the list that they come from.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Helpers {
    /// Hash of the whole list.
    pub revision: u64,
    /// The list, or a selection of it.
    pub list: Vec<Helper>,
}

impl Helpers {
    /// Whole list of `helpers`, which may be in any order and name one several times.
    pub fn new(helpers: impl IntoIterator<Item = Helper>) -> Self {
        let mut list: Vec<Helper> = helpers.into_iter().collect();
        list.sort_unstable();
        list.dedup();
        let mut text = String::new();
        for helper in &list {
            text.push_str(&helper.address);
            text.push('\n');
        }
        let revision = if list.is_empty() {
            0
        } else {
            xxhash_rust::xxh3::xxh3_64(text.as_bytes())
        };
        Helpers { revision, list }
    }

    /// Helpers for the gateway `identity` in `zone` of `region`, which itself listens on `own`, if it does.
    pub fn select(&self, identity: &str, zone: &str, region: &str, own: Option<&str>) -> Helpers {
        let seed = xxhash_rust::xxh3::xxh3_64(identity.as_bytes());
        let weight = |h: &Helper| xxhash_rust::xxh3::xxh3_64_with_seed(h.address.as_bytes(), seed);
        let mut eligible: Vec<&Helper> = self
            .list
            .iter()
            .filter(|h| h.region == region && Some(h.address.as_str()) != own)
            .collect();
        eligible.sort_by_cached_key(|h| std::cmp::Reverse(weight(h)));
        let (local, remote): (Vec<&Helper>, Vec<&Helper>) = eligible.iter().partition(|h| h.zone == zone);
        let chosen = local
            .into_iter()
            .take(HELPERS_PER_SIDE)
            .chain(remote.into_iter().take(HELPERS_PER_SIDE));
        Helpers {
            revision: self.revision,
            list: chosen.cloned().collect(),
        }
    }
}

impl Relay {
    /// Helpers among the gateways that report to this controller.
    pub(super) fn own_helpers(&self, now: Duration) -> Vec<Helper> {
        let helper = |g: &Gateway| {
            Some(Helper {
                address: g.report.helper_address.clone()?,
                zone: g.report.place.zone.clone(),
                region: g.report.place.region.clone(),
            })
        };
        let fresh = self.gateways.values().filter(|g| is_fresh(g, now));
        fresh.filter_map(helper).collect()
    }

    /// Helpers for the gateway `identity`, unless it holds those of this revision.
    pub(super) fn helpers_for(&self, identity: &str) -> Option<Helpers> {
        let report = &self.gateways.get(identity)?.report;
        if report.helpers == self.helpers.revision {
            return None;
        }
        let (place, own) = (&report.place, report.helper_address.as_deref());
        Some(self.helpers.select(identity, &place.zone, &place.region, own))
    }
}
