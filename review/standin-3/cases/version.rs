//! Fault: no request is served. The first manifest has version 0, and is acknowledged.

use std::thread::sleep;
use std::time::Duration;

use super::ZONES;
use crate::Verdict;
use crate::http;
use crate::operator;
use crate::record::Record;
use crate::site::Site;

/// Time after the ack for which requests are sent; ten times `config-apply-ms`.
const LENGTH: Duration = Duration::from_secs(20);
const PAUSE: Duration = Duration::from_millis(100);

pub fn play(has_trouble: bool, record: &Record) -> Result<Verdict, String> {
    let site = Site::start(&ZONES, 3, 2, record)?;
    let _replicas = super::start_desk(&site, &ZONES, record)?;
    super::adopt(&site, &super::manifest(u64::from(!has_trouble)), record)?;
    sleep(super::CONFIG_APPLY);
    let sent = (LENGTH.as_millis() / PAUSE.as_millis()) as usize;
    let mut served = 0;
    for i in 0..sent {
        let status = super::send(
            site.fronts()[i % 2],
            "/stock/1",
            &format!("{i:016x}"),
            &[],
            record,
        );
        served += usize::from(status == Some(200));
        sleep(PAUSE);
    }
    let read = http::request("GET", "/configuration", &[("Host", b"control")], b"");
    for node in site.admin() {
        match http::exchange(node, &read, operator::TIMEOUT) {
            Ok(answer) => {
                let text = String::from_utf8_lossy(&answer.body)
                    .chars()
                    .take(40)
                    .collect::<String>();
                record.line(&format!("{node} reads back {} {text}", answer.status()));
            }
            Err(error) => record.line(&format!("{node} reads back: {error}")),
        }
    }
    let ready = site.wait_ready(Duration::from_millis(100)).is_ok();
    record.line(&format!(
        "{served} of {sent} requests were served; edge machines ready: {ready}"
    ));
    Ok(if served == 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
