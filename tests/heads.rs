//! Heads of requests at a gateway: how many fields and bytes they may have.

mod site;

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use site::ACCOUNT_KEY;
use site::STATE_TIMEOUT;
use site::Site;
use site::raw::Step;
use site::raw::Upstream;
use site::raw::answer_head;
use site::raw::document_with_plain_routes;
use site::raw::site_with_raw_upstreams;

async fn start(number: u8) -> (Site, Vec<Upstream>) {
    let answer = |head: &str| {
        vec![Step::Send(format!(
            "{}content-length: 2\r\n\r\nok",
            answer_head(head)
        ))]
    };
    site_with_raw_upstreams(number, answer).await
}

/// Status of a request with a head of about `bytes` on an open connection, or none if that ends without an answer.
async fn status_on(stream: &mut TcpStream, bytes: usize) -> Option<u16> {
    let head = format!(
        "GET /lookup/1 HTTP/1.1\r\nhost: a.example\r\nauthorization: Bearer {ACCOUNT_KEY}\r\nx-long: {}\r\n\r\n",
        "v".repeat(bytes)
    );
    // Fails if the connection ends before the whole head is sent.
    let _ = stream.write_all(head.as_bytes()).await;
    let mut text = String::new();
    let mut buffer = [0; 4_096];
    while !text.contains("\r\n\r\n") {
        let length = stream.read(&mut buffer).await.ok().filter(|length| *length > 0)?;
        text.push_str(&String::from_utf8_lossy(&buffer[..length]));
    }
    text.split(' ').nth(1)?.parse().ok()
}

/// Status of a request with `count` fields beside the usual ones.
async fn status_with_fields(site: &Site, count: usize) -> Option<u16> {
    let bearer = format!("Bearer {ACCOUNT_KEY}");
    let names: Vec<String> = (0..count).map(|i| format!("x-{i}")).collect();
    let mut headers = vec![("authorization", bearer.as_str())];
    headers.extend(names.iter().map(|name| (name.as_str(), "1")));
    let answer = site.send_request("/lookup/1", &headers).await;
    answer.map(|(status, _)| status)
}

/// Guards against a limit that is acknowledged and not kept. A connection that was open before says that the request
/// has not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_raised_limit_of_heads_is_kept() {
    let (site, _upstreams) = start(246).await;
    let mut open = TcpStream::connect(site.gateway).await.unwrap();
    assert_eq!(status_on(&mut open, 9_000).await, Some(200));
    let mut document: Value = serde_json::from_str(&document_with_plain_routes()).unwrap();
    document["version"] = json!(document["version"].as_u64().unwrap() + 1);
    document["limits"] = json!({"max-header-bytes": 65_536, "max-body-bytes": 4_194_304,
                               "header-timeout-ms": 3_000, "idle-timeout-ms": 15_000});
    let answer = site
        .call_controllers("PUT", "/configuration", &document.to_string())
        .await;
    assert_eq!(
        answer.map(|(status, _)| status),
        Some(200),
        "the limit is not acknowledged"
    );
    let raised_at = Instant::now();
    let new_connection = async || TcpStream::connect(site.gateway).await.unwrap();
    while status_on(&mut new_connection().await, 20_000).await != Some(200) {
        assert!(raised_at.elapsed() < STATE_TIMEOUT, "the limit is not raised");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    for bytes in [40_000, 60_200, 65_000] {
        let mut connection = new_connection().await;
        for _ in 0..2 {
            let status = status_on(&mut connection, bytes).await;
            assert_eq!(status, Some(200), "{bytes} bytes on a new connection");
        }
    }
    assert_eq!(status_on(&mut open, 9_000).await, Some(200));
    assert_eq!(
        status_on(&mut open, 60_200).await,
        Some(503),
        "on an open connection"
    );
    for bytes in [66_000, 200_000] {
        let status = status_on(&mut new_connection().await, bytes).await;
        assert_eq!(status, Some(431), "{bytes} bytes, above the raised limit");
    }
}

/// Guards against heads that are refused for more than a hundred fields, however small they are.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_head_of_many_small_fields_is_served() {
    let (site, _upstreams) = start(245).await;
    for count in [90, 101, 1_000] {
        assert_eq!(
            status_with_fields(&site, count).await,
            Some(200),
            "{count} fields"
        );
    }
    assert_eq!(status_with_fields(&site, 1_100).await, Some(431));
}
