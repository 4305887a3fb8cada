//! A leader that is cut off for less than a second acknowledges a change that is lost.

#[path = "../standin/mod.rs"]
mod standin;

use std::process::ExitCode;

use standin::Fault;
use standin::Verdict;
use standin::http;
use standin::note;
use standin::now_ms;
use standin::proxy::Proxies;
use standin::site::Site;
use standin::site::free_port;
use standin::sleep_ms;

/// `config-apply-ms` of the site: from then on after an acknowledgement no machine may show an older version.
const CONFIG_APPLY_MS: u64 = 2_000;
/// Time from the start of the cut to the operator's change.
const CHANGE_AFTER_MS: u64 = 120;
/// Lengths of the cuts, in turn.
const CUT_MS: [u64; 5] = [840, 850, 830, 820, 845];
const ROUNDS: u64 = 30;
/// No round starts later than this.
const LAST_START_MS: u64 = 100_000;

fn main() -> ExitCode {
    standin::run(case)
}

fn manifest(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"orders","host":"a.example","path-prefix":"/orders/","type":"non_idempotent","timeout-ms":{},"service":"desk","max-attempts":1,"public":true}}],"services":[{{"name":"desk","health-path":"/healthz","max-connections":96}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}}}"#,
        2_000 + version
    )
}

/// Version that a machine returns to a read; none for anything but a 200.
fn read_version(site: &Site, index: usize) -> Option<u64> {
    let (answer, _) = http::call(site.admin(index), "GET", "/configuration", &[], "", 1_500)?;
    if answer.status() != 200 {
        return None;
    }
    let text = answer.text();
    let digits = text.strip_prefix(r#"{"version":"#)?;
    digits.split(',').next()?.parse().ok()
}

fn case(with_trouble: bool) -> Result<Verdict, Fault> {
    let mut site = Site::new();
    let zones = ["gadsden", "gadsden", "spartanburg", "spartanburg", "chattanooga"];
    for (i, zone) in zones.into_iter().enumerate() {
        site.add(&format!("core-{i}"), zone, true);
    }
    site.start_core()?;
    // From here on the machines reach each other through proxies.
    let (known, actual) = (site.ports.0, free_port(site.ip(200)));
    let proxies = Proxies::default();
    site.restart_core((actual, site.ports.1))?;
    for index in site.core() {
        proxies.open(index, site.machines[index].ip, known, actual)?;
    }
    site.wait_for_core()?;
    let processes: Vec<(usize, u32)> = site
        .core()
        .iter()
        .filter_map(|i| Some((*i, site.pid(*i)?)))
        .collect();
    proxies.learn(&processes);
    let mut version = 1;
    site.operate("PUT", "/configuration", &manifest(version))?;
    for round in 0..ROUNDS {
        if now_ms() > LAST_START_MS {
            break;
        }
        let leader = standin::wait_for("a leader", 10_000, || site.leader())?;
        let name = site.machines[leader].name.clone();
        version += 1;
        let cut_ms = CUT_MS[(round as usize) % CUT_MS.len()];
        if with_trouble {
            proxies.cut(Some(leader));
            note(format!(
                "round {round}: {name} leads; cut off from the other machines of the core for {cut_ms} ms"
            ));
        }
        let proxies_of_end = proxies.clone();
        let end = std::thread::spawn(move || {
            sleep_ms(cut_ms);
            proxies_of_end.cut(None);
            note("the cut has healed");
        });
        sleep_ms(CHANGE_AFTER_MS);
        note(format!("operator: PUT version {version} at {name}"));
        let answer = http::call(
            site.admin(leader),
            "PUT",
            "/configuration",
            &[],
            &manifest(version),
            1_000,
        );
        let status = answer.map(|(answer, _)| answer.status());
        let acknowledged_at = now_ms();
        note(format!("operator: answer to version {version}: {status:?}"));
        let _ = end.join();
        if status != Some(200) {
            // The operator has no clear answer and sends the same order again, as the pages say.
            sleep_ms(1_000);
            site.operate("PUT", "/configuration", &manifest(version))?;
            sleep_ms(1_200);
            continue;
        }
        sleep_ms((acknowledged_at + CONFIG_APPLY_MS + 500).saturating_sub(now_ms()));
        let mut is_broken = false;
        for index in site.core() {
            let read = read_version(&site, index);
            note(format!("read at {}: version {read:?}", site.machines[index].name));
            is_broken |= read.is_some_and(|read| read < version);
        }
        if is_broken {
            note(format!(
                "version {version} was acknowledged, and an older one is read back"
            ));
            return Ok(Verdict::Broken);
        }
    }
    note(format!("datagrams dropped by the cuts: {}", proxies.dropped()));
    Ok(Verdict::Held)
}
