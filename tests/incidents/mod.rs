//! Evidence of crashes, as tests give it.
#![allow(dead_code)]

use std::time::Duration;

use heatherramp::domain::quarantine::Attribution;
use heatherramp::domain::quarantine::Crash;
use heatherramp::domain::quarantine::Evidence;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn strings(parts: &[&str]) -> Vec<String> {
    parts.iter().map(|p| (*p).to_owned()).collect()
}

pub fn crash(target: &str, incarnation: u64, parts: &[&str]) -> Crash {
    Crash {
        target: target.to_owned(),
        incarnation,
        parts: strings(parts),
        age_ms: 0,
        sent_age_ms: None,
    }
}

pub fn crashes(crashes: Vec<Crash>) -> Evidence {
    Evidence {
        crashes,
        ..Evidence::default()
    }
}

pub fn sound(parts: &[&str]) -> Evidence {
    Evidence {
        sound: parts.iter().map(|p| ((*p).to_owned(), 0)).collect(),
        ..Evidence::default()
    }
}

/// Attribution after crashes of different targets, with requests that have these parts.
pub fn attribution_after(incidents: &[(u64, &[&[&str]])]) -> Attribution {
    let mut attribution = Attribution::default();
    for (i, (at, requests)) in incidents.iter().enumerate() {
        let target = format!("t{i}");
        let crashed = requests.iter().map(|parts| crash(&target, 1, parts));
        attribution.record(ms(*at), &crashes(crashed.collect()));
    }
    attribution
}
