//! TWO: a replica takes a join of another group while the head of its group is open.
//!
//! The first order to open gets no answer and is carried out 6 s later; meanwhile its head is cut off from the core.

use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use super::START;
use super::ZONES;
use crate::Verdict;
use crate::engine::Engine;
use crate::http::Message;
use crate::record::Record;
use crate::site;
use crate::site::Site;
use crate::world::World;

/// Model replicas, all in one fabric domain; a model has two.
const REPLICAS: u8 = 5;
/// Zone of the replicas. No edge machine is there, so their check-ins go to the core.
const ZONE: &str = ZONES[2];
const LATE: Duration = Duration::from_secs(6);
const LENGTH: Duration = Duration::from_secs(25);

pub fn play(has_trouble: bool, record: &Record) -> Result<Verdict, String> {
    let site = Site::start(&ZONES, 3, 2, record)?;
    let world = World::new(has_trouble.then_some(LATE), record);
    let crash = Arc::new(|_: &Message| false);
    let mut engines = Vec::new();
    for i in 0..REPLICAS {
        let address = site::address(site.replica_ip(i), 0);
        let names = (&*format!("i-llm{i}"), "llm", ZONE, "d0");
        engines.push(Engine::start(
            names,
            address,
            site.admin(),
            (crash.clone(), Duration::ZERO, world.clone()),
            record,
        )?);
    }
    sleep(Duration::from_secs(2));
    let manifest = super::parts::manifest().replace("\"size\":1", "\"size\":2");
    super::adopt(&site, &manifest, record)?;
    site.wait_ready(START)?;
    sleep(LENGTH);
    let open = engines.iter().filter(|e| e.is_open()).count();
    record.line(&format!("{open} open heads at the end"));
    if open == 0 && !has_trouble {
        return Err("no group opened".to_owned());
    }
    Ok(if world.breaks() > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
