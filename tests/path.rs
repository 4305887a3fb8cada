//! Calls from client to upstream through separate processes, and refusal of invalid requests.

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
async fn every_entry_serves_chats_and_service_calls() {
    let zones = ["north", "south"];
    let cluster = Cluster::start("path", (3, 2), &zones, |_, upstreams| {
        upstreams.vms = vms(&zones, 2);
    })
    .await;
    cluster.submit_and_promote(&engine_document(&zones, 1, 2)).await;
    cluster.submit_and_promote(&service_document(&zones)).await;
    cluster.wait_until_served().await;
    for name in ["e1", "e2"] {
        let address = cluster.entry_address(name);
        let buffered = cluster.chat(&address, "which die", 12).await.unwrap();
        assert_eq!(
            (buffered.status, answer_text(&buffered)),
            (200, expected_text("which die", 12))
        );
        let http = cluster.http();
        let streamed = common::chat(&http, &address, "which punch", 12, true)
            .await
            .unwrap();
        assert_eq!(streamed_text(&streamed), Some(expected_text("which punch", 12)));
        let order = cluster.book(&address, "order-1").await.unwrap();
        assert_eq!((order.status, order.outcome.as_str()), (200, "ran"), "{order:?}");
        assert_eq!(order.json()["run"], 1);
    }
    check_refusal_of_invalid_requests(&cluster).await;
}

async fn check_refusal_of_invalid_requests(cluster: &Cluster) {
    let url = format!("http://{}/v1/chat/completions", cluster.entry_address("e1"));
    let valid_authorization = format!("Bearer {CLIENT_KEY}");
    let valid_body = r#"{"model":"notes","messages":[{"role":"user","content":"x"}]}"#;
    let oversized_body = format!(r#"{{"model":"notes","messages":["{}"]}}"#, "x".repeat(2 << 20));
    let cases = [
        ("POST", valid_authorization.as_str(), "{", 400),
        ("POST", valid_authorization.as_str(), r#"{"messages":[]}"#, 400),
        (
            "POST",
            valid_authorization.as_str(),
            r#"{"model":"notes","messages":[]}"#,
            400,
        ),
        (
            "POST",
            valid_authorization.as_str(),
            r#"{"model":"nothing","messages":["x"]}"#,
            404,
        ),
        ("POST", "Bearer wrong", valid_body, 401),
        ("POST", valid_authorization.as_str(), oversized_body.as_str(), 413),
        ("GET", valid_authorization.as_str(), "", 405),
    ];
    for (method, authorization, body, status) in cases {
        let headers = [("authorization", authorization)];
        let answer = cluster.call(method, &url, &headers, body).await.unwrap();
        let message = answer.json()["error"]["message"].as_str().map(str::to_owned);
        assert_eq!(answer.status, status, "{method} {body:.60}");
        assert!(message.is_some_and(|m| !m.is_empty()), "an error with a message");
        assert_eq!(answer.outcome, "not-run");
    }
    let after = cluster
        .chat(&cluster.entry_address("e1"), "still here", 3)
        .await
        .unwrap();
    assert_eq!(after.status, 200);
}
