//! Withdrawn keys at gateways that start while the controller they reach is cut off from the leader.

mod site;

use std::time::Duration;
use std::time::Instant;

use heatherramp::domain::fleet::Confirmation;
use site::ACCOUNT_KEY;
use site::Site;
use site::Vm;
use site::call;
use site::document;

/// Time after which a withdrawn key must not work, by the default settings of a gateway.
const REVOCATION_TIME: Duration = Duration::from_secs(5);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a confirmation that counts from the start of a process that is younger than it.
#[test]
fn a_confirmation_may_be_older_than_the_process() {
    for (received, age, until) in [
        (100, 0, 1_100),
        (100, 100, 1_000),
        (100, 400, 700),
        (2_000, 2_500, 500),
    ] {
        let confirmation = Confirmation::new(ms(received), ms(age));
        assert!(confirmation.is_valid(ms(until - 1), ms(1_000)));
        assert!(!confirmation.is_valid(ms(until), ms(1_000)));
    }
    for age in [1_100, 60_000, u64::MAX] {
        assert!(!Confirmation::new(ms(100), ms(age)).is_valid(ms(0), ms(1_000)));
    }
    let [older, newer] = [500, 100].map(|age| Confirmation::new(ms(200), ms(age)));
    assert!(older < newer && newer.is_later_by(ms(399), older));
    assert!(!newer.is_later_by(ms(400), older));
}

/// Guards against a configuration that is in force at a young gateway although nobody has confirmed it for long.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gateway_that_starts_behind_a_cut_off_controller_uses_no_old_configuration() {
    let mut site = Site::start(150);
    let _desk = Vm::start("desk", "desk", site.controllers.clone()).await;
    site.call_controllers("PUT", "/configuration", &document(3))
        .await
        .unwrap();
    let bearer = format!("Bearer {ACCOUNT_KEY}");
    let headers = [("authorization", bearer.as_str())];
    site.send_until("/orders/0", &headers, 200).await;
    // The controller that is left has no quorum, so it can't know of changes.
    site.kill("fleet0");
    site.kill("fleet1");
    tokio::time::sleep(REVOCATION_TIME).await;
    let gateway = site.add_gateway("g2");
    let started = Instant::now();
    let mut answers = 0;
    while started.elapsed() < REVOCATION_TIME {
        let headers = [("x-attempt-id", "a2"), headers[0]];
        if let Some((status, _)) = call(gateway, "POST", "/orders/1", "body", &headers).await {
            assert_eq!(status, 503, "after {:?}", started.elapsed());
            answers += 1;
        }
        tokio::time::sleep(ms(50)).await;
    }
    assert!(answers > 0, "the gateway answers");
}
