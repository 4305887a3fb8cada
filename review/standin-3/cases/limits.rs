//! DENIED: requests are ended with a 4xx of the system's own though they are proper and the manifest allows them.
//!
//! The manifest raises `max-header-bytes` to 65,536, and clients send heads of some 60,000 bytes.

use std::thread::sleep;
use std::time::Duration;

use super::CONFIG_APPLY;
use super::START;
use super::ZONES;
use crate::Verdict;
use crate::record::Record;
use crate::site::Site;

const REQUESTS: usize = 200;
/// Bytes of a cookie, within the limit before and after the change.
const SMALL: usize = 12_000;
const LARGE: usize = 60_000;

pub fn play(has_trouble: bool, record: &Record) -> Result<Verdict, String> {
    let site = Site::start(&ZONES, 3, 2, record)?;
    let _replicas = super::start_desk(&site, &ZONES, record)?;
    super::adopt(&site, &super::manifest(1), record)?;
    site.wait_ready(START)?;
    if has_trouble {
        let manifest = super::manifest(2).replace("\"max-header-bytes\":16384", "\"max-header-bytes\":65536");
        super::adopt(&site, &manifest, record)?;
    }
    sleep(CONFIG_APPLY + Duration::from_millis(500));
    let cookie = vec![b'c'; if has_trouble { LARGE } else { SMALL }];
    let mut denied = 0;
    for i in 0..REQUESTS {
        let extra: [(&str, &[u8]); 1] = [("Cookie", &cookie)];
        let status = super::send(
            site.fronts()[i % 2],
            "/stock/1",
            &format!("{i:016x}"),
            &extra,
            record,
        );
        denied += usize::from(status.is_some_and(is_denial));
    }
    let bound = 5 + REQUESTS / 500;
    record.line(&format!(
        "{denied} of {REQUESTS} requests were denied, {bound} may be"
    ));
    Ok(if denied > bound {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn is_denial(status: u16) -> bool {
    (300..500).contains(&status) && ![408, 421, 429].contains(&status)
}
