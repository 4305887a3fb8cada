//! BUDGET: a request that crashes the replicas that run it reaches replicas in more than three retries, sent later than
//! `contact-ms` after it has crashed the third.
//!
//! The service has one replica and is the only one. `REPLICAS` sets another number, for comparison.

use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use super::CONTACT;
use super::START;
use super::ZONES;
use crate::Verdict;
use crate::engine::Engine;
use crate::http::Message;
use crate::record::Record;
use crate::site;
use crate::site::Site;
use crate::world::World;

const BAD_PATH: &str = "/stock/bad";
/// Time for which a replica is down after a crash.
const DOWN: Duration = Duration::from_secs(2);
/// Time from the arrival at an edge machine to the beginning of the run, generously.
const WAY: Duration = Duration::from_millis(500);
const LENGTH: Duration = Duration::from_secs(45);
/// Pause between two requests; each twelfth one is the bad one.
const PAUSE: Duration = Duration::from_millis(250);
const EACH: usize = 12;

pub fn play(has_trouble: bool, record: &Record) -> Result<Verdict, String> {
    let replicas: u8 = match std::env::var("REPLICAS") {
        Ok(text) => text.parse().map_err(|_| "REPLICAS is not a number")?,
        Err(_) => 1,
    };
    let site = Site::start(&ZONES, 3, 2, record)?;
    let crash = Arc::new(|request: &Message| request.second_word() == BAD_PATH);
    let world = World::new(None, record);
    let mut desk = Vec::new();
    for i in 0..replicas {
        let address = site::address(site.replica_ip(i), 0);
        let names = (
            &*format!("i-desk{i}"),
            "desk",
            ZONES[usize::from(i) % ZONES.len()],
            "d0",
        );
        desk.push(Engine::start(
            names,
            address,
            site.admin(),
            (crash.clone(), DOWN, world.clone()),
            record,
        )?);
    }
    super::adopt(&site, &super::manifest(1), record)?;
    site.wait_ready(START)?;
    let begun = Instant::now();
    let mut number = 0;
    while begun.elapsed() < LENGTH {
        let path = match has_trouble && number % EACH == EACH / 2 {
            true => BAD_PATH,
            false => "/stock/1",
        };
        super::send(
            site.fronts()[number % 2],
            path,
            &format!("{number:016x}"),
            &[],
            record,
        );
        number += 1;
        sleep(PAUSE);
    }
    let mut crashes: Vec<Instant> = desk
        .iter()
        .flat_map(|r| r.crashes.lock().unwrap().clone())
        .collect();
    crashes.sort_unstable();
    record.line(&format!("{} crashes", crashes.len()));
    let Some(third) = crashes.get(2) else {
        return Ok(Verdict::Held);
    };
    let runs: Vec<(Instant, Message)> = desk.iter().flat_map(|r| r.runs.lock().unwrap().clone()).collect();
    let is_late = |(at, request): &&(Instant, Message)| {
        *at > *third + CONTACT + WAY && request.second_word() == BAD_PATH
    };
    let late = runs.iter().filter(is_late).count();
    record.line(&format!(
        "the request reached replicas {late} times later than contact-ms after its third crash"
    ));
    Ok(if late > 3 { Verdict::Broken } else { Verdict::Held })
}
