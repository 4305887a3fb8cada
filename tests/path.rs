//! The whole path in separate processes, and bad input.

mod common;

use common::CLIENT_KEY;
use common::Cluster;
use common::answer_text;
use common::engine_document;
use common::expected_text;
use common::service_document;
use common::streamed_text;
use common::vms;

#[tokio::test(flavor = "multi_thread")]
async fn answers_come_through_every_entry() {
    let zones = ["north", "south"];
    let running = Cluster::start("path", (3, 2), &zones, |_, upstreams| {
        upstreams.vms = vms(&zones, 2);
    })
    .await;
    running.submit_and_promote(&engine_document(&zones, 1, 2)).await;
    running.submit_and_promote(&service_document(&zones)).await;
    running.wait_until_served().await;
    for name in ["e1", "e2"] {
        let address = running.entry_address(name);
        let whole = running.chat(&address, "which die", 12).await.unwrap();
        assert_eq!(
            (whole.status, answer_text(&whole)),
            (200, expected_text("which die", 12))
        );
        let http = running.http();
        let stream = common::chat(&http, &address, "which punch", 12, true)
            .await
            .unwrap();
        assert_eq!(streamed_text(&stream), Some(expected_text("which punch", 12)));
        let order = running.book(&address, "order-1").await.unwrap();
        assert_eq!((order.status, order.outcome.as_str()), (200, "ran"), "{order:?}");
        assert_eq!(order.json()["run"], 1);
    }
    refuses_bad_input(&running).await;
}

async fn refuses_bad_input(running: &Cluster) {
    let url = format!("http://{}/v1/chat/completions", running.entry_address("e1"));
    let right = format!("Bearer {CLIENT_KEY}");
    let good = r#"{"model":"notes","messages":[{"role":"user","content":"x"}]}"#;
    let huge = format!(r#"{{"model":"notes","messages":["{}"]}}"#, "x".repeat(2 << 20));
    let cases = [
        ("POST", right.as_str(), "{", 400),
        ("POST", right.as_str(), r#"{"messages":[]}"#, 400),
        ("POST", right.as_str(), r#"{"model":"notes","messages":[]}"#, 400),
        (
            "POST",
            right.as_str(),
            r#"{"model":"nothing","messages":["x"]}"#,
            404,
        ),
        ("POST", "Bearer wrong", good, 401),
        ("POST", right.as_str(), huge.as_str(), 413),
        ("GET", right.as_str(), "", 405),
    ];
    for (method, authorization, body, status) in cases {
        let headers = [("authorization", authorization)];
        let answer = running.call(method, &url, &headers, body).await.unwrap();
        let message = answer.json()["error"]["message"].as_str().map(str::to_owned);
        assert_eq!(answer.status, status, "{method} {body:.60}");
        assert!(
            message.is_some_and(|m| !m.is_empty()),
            "an error in the usual form"
        );
        assert_eq!(answer.outcome, "not-run");
    }
    let after = running
        .chat(&running.entry_address("e1"), "still here", 3)
        .await
        .unwrap();
    assert_eq!(after.status, 200);
}
