//! Announcements of VMs that contradict each other.

use std::time::Duration;

use heatherramp::domain::membership::Announcement;
use heatherramp::domain::membership::Raw;
use heatherramp::domain::membership::Registry;
use heatherramp::domain::membership::Report;
use heatherramp::domain::membership::Timing;

fn announcement(vm: &str, port: u16) -> Announcement {
    Announcement::try_from(Raw {
        vm: vm.to_owned(),
        address: format!("127.0.0.1:{port}"),
        availability_zone: "north".to_owned(),
        fabric_domain: "rack".to_owned(),
        accelerators: 1,
        kind: Default::default(),
        report: Report {
            incarnation: 1,
            ..Report::default()
        },
    })
    .expect("a legal announcement")
}

#[test]
fn a_second_address_or_name_of_a_vm_is_refused_while_the_first_is_present() {
    let (mut registry, timing) = (Registry::default(), Timing::default());
    let now = Duration::from_secs(10);
    registry
        .announce(now, &timing, announcement("a", 1))
        .expect("first announcement");
    let second_address = registry.announce(now, &timing, announcement("a", 2));
    assert!(second_address.unwrap_err().to_string().contains("127.0.0.1:1"));
    let second_name = registry.announce(now, &timing, announcement("b", 1));
    assert!(second_name.unwrap_err().to_string().contains("VM a"));
    // A VM may move to another address once the old one has been silent for the lost time.
    let later = now + timing.lost();
    registry
        .announce(later, &timing, announcement("a", 2))
        .expect("VM a has moved");
    registry
        .announce(later, &timing, announcement("b", 1))
        .expect("address of VM a is free");
    assert_eq!(registry.iter().count(), 2);
}
