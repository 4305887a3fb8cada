//! Names in the paths of calls: zones of evacuations and identifiers of upstreams.

mod site;

use heatherramp::platform::path::Call;
use heatherramp::platform::path::parse;
use http::Method;

use site::ACCOUNT_KEY;
use site::Site;
use site::Vm;
use site::document;

/// Guards against an evacuation that is acknowledged and has no effect, as the zone's name is percent-encoded.
#[test]
fn all_spellings_of_a_name_are_the_same() {
    for path in [
        "s%C3%A3o-paulo",
        "s%c3%a3o-paulo",
        "s%C3%A3o%2Dpaulo",
        "são-paulo",
    ] {
        let path = format!("/evacuations/{path}");
        assert_eq!(
            parse(&Method::POST, &path),
            Call::ZoneOut("são-paulo".into()),
            "{path}"
        );
        assert_eq!(
            parse(&Method::DELETE, &path),
            Call::ZoneIn("são-paulo".into()),
            "{path}"
        );
    }
    let id = Call::Heartbeat("i-7f3a".into());
    assert_eq!(parse(&Method::PUT, "/replicas/i-7f3a"), id);
    assert_eq!(parse(&Method::PUT, "/replicas/i%2D7f3a"), id);
    assert_eq!(parse(&Method::DELETE, "/replicas/a+b"), Call::Leave("a+b".into()));
}

#[test]
fn names_that_cannot_be_decoded_are_refused() {
    for name in ["", "%", "a%2", "%zz", "%C3", "a%FF"] {
        for (method, path) in [(Method::POST, "/evacuations/"), (Method::PUT, "/replicas/")] {
            let path = format!("{path}{name}");
            assert!(matches!(parse(&method, &path), Call::Invalid(_)), "{path}");
        }
    }
}

/// The same with processes: nothing is sent to the VM of the zone, and it returns with the zone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_evacuation_of_a_zone_with_a_percent_encoded_name_takes_effect() {
    let site = Site::start(207);
    // VMs of the tests are in the zone `z1`.
    let _vm = Vm::start("desk0", "desk", site.controllers.clone()).await;
    let bearer = format!("Bearer {ACCOUNT_KEY}");
    let headers = [("authorization", bearer.as_str())];
    site.call_controllers("PUT", "/configuration", &document(1))
        .await
        .unwrap();
    site.send_until("/orders/1", &headers, 200).await;
    let refused = site
        .call_controllers("POST", "/evacuations/%zz", "")
        .await
        .unwrap();
    assert_eq!(refused.0, 400);
    let evacuated = site
        .call_controllers("POST", "/evacuations/%7A1", "")
        .await
        .unwrap();
    assert_eq!(evacuated.0, 200);
    site.send_until("/orders/1", &headers, 503).await;
    let returned = site
        .call_controllers("DELETE", "/evacuations/%7A1", "")
        .await
        .unwrap();
    assert_eq!(returned.0, 200);
    site.send_until("/orders/1", &headers, 200).await;
}
