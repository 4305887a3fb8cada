//! Fairness between client accounts, tested with real processes.
//!
//! One account sends 400 calls concurrently while another sends single calls. Without fair queueing, the
//! calls of the second account would wait behind all of the first one's.

mod common;

use std::time::Duration;
use std::time::Instant;

use common::Cluster;
use common::engine_document;
use common::vms;
use heatherramp::domain::environment;
use serde_json::json;
use tokio::time::sleep;

const SMALL_ACCOUNT_KEY: &str = "small-client-key";

#[tokio::test(flavor = "multi_thread")]
async fn calls_of_one_account_do_not_starve_another_account() {
    let cluster = Cluster::start("shares", (1, 1), &["north"], |_, upstreams| {
        upstreams.vms = vms(&["north"], 2);
        upstreams.cold_calls = 0;
    })
    .await;
    let mut document = engine_document(&["north"], 2, 1);
    document["limits"]["in_flight_per_replica"] = 4.into();
    document["limits"]["queue"] = 300.into();
    let small_account = json!({"name": "small", "key_digest": environment::digest_key(SMALL_ACCOUNT_KEY)});
    document["client_accounts"]
        .as_array_mut()
        .unwrap()
        .push(small_account);
    cluster.submit_and_promote(&document).await;
    cluster.wait_until_served().await;
    sleep(Duration::from_millis(1_000)).await;
    let address = cluster.entry_address("e1");
    let large_account_calls: Vec<_> = (0..400)
        .map(|i| {
            let (http, address) = (cluster.http(), address.clone());
            tokio::spawn(async move { common::chat(&http, &address, &format!("flood {i}"), 10, false).await })
        })
        .collect();
    sleep(Duration::from_millis(200)).await;
    let url = format!("http://{address}/v1/chat/completions");
    let authorization = format!("Bearer {SMALL_ACCOUNT_KEY}");
    let mut longest = Duration::ZERO;
    for i in 0..8 {
        let body = json!({
            "model": "notes", "max_tokens": 10,
            "messages": [{"role": "user", "content": format!("small {i}")}],
        });
        let start = Instant::now();
        let headers = [("authorization", authorization.as_str())];
        let answer = cluster
            .call("POST", &url, &headers, &body.to_string())
            .await
            .unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text);
        longest = longest.max(start.elapsed());
    }
    let mut refused = 0;
    let mut served = 0;
    for call in large_account_calls {
        let answer = call.await.unwrap().expect("an answer");
        match answer.outcome.as_str() {
            "not-run" => {
                assert!(answer.headers.contains_key("retry-after"));
                refused += 1;
            }
            _ => served += 1,
        }
    }
    println!(
        "longest call of the small account {longest:?}; large account: {served} served, {refused} refused"
    );
    assert!(
        refused > 0,
        "the queue limit refused none of the large account's calls"
    );
    // Serving all of the large account's calls would take 400 calls / 8 slots x 130 ms = 6.5 s. The
    // slots are 4 at each of 2 replicas; a call takes 30 ms for its prompt and 10 ms for each of 10 tokens.
    assert!(longest < Duration::from_secs(3), "{longest:?}");
}
