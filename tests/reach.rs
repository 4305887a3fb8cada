//! Reach of targets: detours, partitions, the way back and the choice of helpers. No network.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use heatherramp::domain::fleet::Helper;
use heatherramp::domain::fleet::Helpers;
use heatherramp::domain::gateway::Change;
use heatherramp::domain::gateway::Reach;
use heatherramp::domain::gateway::Settings;
use heatherramp::domain::gateway::Way;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7341))
}

#[test]
fn a_detour_is_taken_again_then_both_ways_then_the_direct_one() {
    let mut reach = Reach::default();
    assert_eq!(reach.way(at(0), "t1"), Way::Direct);
    assert!(reach.record_detour(at(0), "t1"));
    assert_eq!(reach.way(at(100), "t1"), Way::Detour);
    assert_eq!(
        reach.way(at(100), "t2"),
        Way::Direct,
        "one detour is no partition"
    );
    // Requests that take the detour meanwhile do not prolong it.
    assert!(!reach.record_detour(at(1_400), "t1"));
    assert_eq!(reach.way(at(1_600), "t1"), Way::Cautious);
    reach.record_direct(at(1_610), "t1");
    assert_eq!(reach.way(at(1_620), "t1"), Way::Direct);
}

#[test]
fn detours_to_two_targets_make_every_link_suspect_until_one_target_is_reached_directly() {
    let mut reach = Reach::default();
    reach.record_detour(at(0), "t1");
    reach.record_heard(at(1));
    assert!(reach.is_link_suspect(at(1), "t1"));
    assert!(!reach.is_link_suspect(at(1), "t2"));
    reach.record_detour(at(10), "t2");
    assert_eq!(reach.update(at(11)), Some(Change::Partitioned));
    assert!(reach.is_link_suspect(at(12), "t3"));
    assert_eq!(reach.way(at(12), "t3"), Way::Cautious);
    // A target that needed no detour tells nothing of those that do.
    reach.record_direct(at(20), "t3");
    assert!(reach.is_partitioned(at(21)));
    reach.record_direct(at(1_600), "t1");
    assert_eq!(reach.update(at(1_601)), Some(Change::Restored));
    assert!(!reach.is_link_suspect(at(1_601), "t2"));
    assert_eq!(
        reach.way(at(1_601), "t2"),
        Way::Cautious,
        "the way back is not a cliff"
    );
    reach.record_detour(at(1_700), "t2");
    assert_eq!(reach.update(at(1_701)), None);
}

#[test]
fn one_detour_makes_all_links_suspect_until_something_arrives_on_one() {
    let mut reach = Reach::default();
    reach.record_heard(at(0));
    reach.record_detour(at(100), "t1");
    assert!(reach.is_link_suspect(at(101), "t2"));
    reach.record_heard(at(110));
    assert!(!reach.is_link_suspect(at(111), "t2"));
    assert!(reach.is_link_suspect(at(111), "t1"));
    assert!(!reach.is_partitioned(at(111)));
}

#[test]
fn without_requests_a_partition_is_forgotten() {
    let mut reach = Reach::default();
    for target in ["t1", "t2", "t3"] {
        reach.record_detour(at(0), target);
    }
    assert_eq!(reach.update(at(1)), Some(Change::Partitioned));
    assert_eq!(reach.update(at(10_000)), Some(Change::Restored));
    assert_eq!(reach.detours(), 0);
}

#[test]
fn a_helper_without_an_answer_is_asked_last_and_load_decides_among_the_others() {
    let mut reach = Reach::default();
    reach.set_helpers(vec![address(1), address(2), address(3)]);
    reach.open_tunnel(address(1));
    assert_eq!(reach.helpers(at(0), 2), [address(2), address(3)]);
    reach.record_helper_failure(at(0), address(2));
    assert_eq!(reach.helpers(at(1), 3), [address(3), address(1), address(2)]);
    assert_eq!(reach.helpers(at(5_000), 1), [address(2)]);
    reach.close_tunnel(address(1));
    assert_eq!(reach.helpers(at(5_000), 1), [address(1)]);
}

/// Tunnels of one partitioned gateway at the same time: 25 requests a second of 1.6 s each.
const TUNNELS_PER_GATEWAY: usize = 40;

/// Tunnels at each helper, for `gateways` of which those in `cut` are partitioned.
fn tunnels_by_helper(gateways: u16, cut: impl Fn(u16) -> bool) -> BTreeMap<SocketAddr, usize> {
    let zone = |g: u16| format!("z{}", g % 3);
    let helper = |g: u16| Helper {
        address: address(g).to_string(),
        zone: zone(g),
        region: "r".to_owned(),
    };
    let all = Helpers::new((0..gateways).filter(|g| !cut(*g)).map(helper));
    let mut tunnels = BTreeMap::new();
    for gateway in (0..gateways).filter(|g| cut(*g)) {
        let own = address(gateway).to_string();
        let chosen = all.select(&format!("g{gateway}"), &zone(gateway), "r", Some(&own));
        assert!(chosen.list.len() <= 8);
        assert!(chosen.list.iter().all(|h| h.address != own));
        let mut reach = Reach::default();
        reach.set_helpers(chosen.list.iter().map(|h| h.address.parse().unwrap()).collect());
        for _ in 0..TUNNELS_PER_GATEWAY {
            let helper = reach.helpers(at(0), 1)[0];
            reach.open_tunnel(helper);
            *tunnels.entry(helper).or_default() += 1;
        }
    }
    tunnels
}

#[test]
fn partitioned_gateways_spread_over_helpers() {
    // A quarter of the gateways, a whole zone, and most. No helper gets more than the limit of its tunnels, unless
    // twice the even share is more.
    let limit = Settings::default().max_tunnels as usize;
    for gateways in [6, 12, 24, 64, 320] {
        for (name, cut) in [("quarter", 0), ("zone", 1), ("most", 2)] {
            let is_cut = move |g: u16| match cut {
                0 => g.is_multiple_of(4),
                1 => g % 3 == 1,
                _ => !g.is_multiple_of(5),
            };
            let tunnels = tunnels_by_helper(gateways, is_cut);
            let cut_count = (0..gateways).filter(|g| is_cut(*g)).count();
            let helpers = usize::from(gateways) - cut_count;
            let even = (cut_count * TUNNELS_PER_GATEWAY).div_ceil(helpers);
            let most = tunnels.values().max().copied().unwrap_or(0);
            let bound = limit.max(2 * even);
            assert!(
                most <= bound,
                "{gateways} gateways, {name}: {most} at one helper, {even} at each if even"
            );
        }
    }
}

#[test]
fn helpers_are_in_the_own_region_and_half_of_them_in_other_zones() {
    let helper = |number: u16, zone: &str, region: &str| Helper {
        address: address(number).to_string(),
        zone: zone.to_owned(),
        region: region.to_owned(),
    };
    let mut list: Vec<Helper> = (0..20).map(|n| helper(n, "z1", "r1")).collect();
    list.extend((20..40).map(|n| helper(n, "z2", "r1")));
    list.extend((40..60).map(|n| helper(n, "z3", "r2")));
    let all = Helpers::new(list.iter().cloned().rev().chain(list.clone()));
    assert_eq!(all, Helpers::new(list), "neither order nor repeats matter");
    let chosen = all.select("g", "z1", "r1", None);
    assert_eq!(chosen.list.len(), 8);
    assert_eq!(chosen.list.iter().filter(|h| h.zone == "z1").count(), 4);
    assert!(chosen.list.iter().all(|h| h.region == "r1"));
    assert_eq!(chosen.revision, all.revision);
    assert!(all.select("g", "z9", "r9", None).list.is_empty());
}

/// Guards against upstreams that run and are reported as stalled by a gateway that hears nothing at all, which made
/// controllers give up their groups.
#[test]
fn a_gateway_that_hears_nothing_knows_nothing_of_stalled_targets() {
    let mut reach = Reach::default();
    reach.record_heard(at(0));
    assert!(!reach.is_cut_off(at(350), 2), "both may have stalled");
    assert!(reach.is_cut_off(at(351), 2));
    // One target that stalls is rather the one at fault.
    assert!(!reach.is_cut_off(at(351), 1));
    // Another target has accepted a connection meanwhile.
    reach.record_direct(at(400), "t3");
    assert!(!reach.is_cut_off(at(500), 2));
}
