//! EVAC: a request reaches a replica in a zone later than `evacuation-ms` after its evacuation was acknowledged.
//!
//! The name of the zone needs percent-encoding in a path.

use std::thread::sleep;
use std::time::Duration;

use super::EVACUATION;
use super::START;
use crate::Verdict;
use crate::operator;
use crate::record::Record;
use crate::site::Site;

const ZONES: [&str; 3] = ["gadsden", "são-paulo", "chattanooga"];
/// Path of the evacuation of the second zone.
const PATH: &str = "/evacuations/s%C3%A3o-paulo";
const REQUESTS: usize = 60;

pub fn play(has_trouble: bool, record: &Record) -> Result<Verdict, String> {
    let site = Site::start(&ZONES, 3, 2, record)?;
    let replicas = super::start_desk(&site, &ZONES, record)?;
    super::adopt(&site, &super::manifest(1), record)?;
    site.wait_ready(START)?;
    let order = |path: &str| match operator::order(&site.admin(), ("POST", path, ""), START, record) {
        Some(200..300) => Ok(()),
        status => Err(format!("{path} got {status:?}")),
    };
    if has_trouble {
        order(PATH)?;
        // A zone with another name, for comparison.
        order("/evacuations/gadsden")?;
    }
    sleep(EVACUATION + Duration::from_millis(500));
    let runs = || -> Vec<usize> { replicas.iter().map(|r| r.runs.lock().unwrap().len()).collect() };
    let before = runs();
    for i in 0..REQUESTS {
        super::send(
            site.fronts()[i % 2],
            "/stock/1",
            &format!("{i:016x}"),
            &[],
            record,
        );
    }
    let after: Vec<usize> = runs()
        .iter()
        .zip(&before)
        .map(|(after, before)| after - before)
        .collect();
    record.line(&format!(
        "runs later than evacuation-ms after the ack, by zone: {after:?} of {ZONES:?}"
    ));
    Ok(if has_trouble && after[1] > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
