//! Changes of racing operators and their resends while control processes are killed and restarted.

mod common;

use std::time::Duration;

use common::Cluster;
use common::engine_document;
use common::vms;
use heatherramp::cli::Site;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;

async fn start_cluster(name: &str, entries: usize) -> Cluster {
    Cluster::start(name, (3, entries), &["north"], |site, upstreams| {
        for control in &mut site.controls {
            control.core.consensus.snapshot_every = 200;
        }
        upstreams.vms = vms(&["north"], 1);
    })
    .await
}

/// Environment document whose text differs for each `variant`.
fn document(variant: u64) -> Value {
    let mut document = engine_document(&["north"], 1, 1);
    document["limits"]["queue"] = (variant + 1).into();
    document
}

fn submit(base: u64, variant: u64) -> Value {
    json!({"submit": {"environment": "notes", "base": base, "text": document(variant).to_string()}})
}

#[tokio::test(flavor = "multi_thread")]
async fn exactly_one_of_two_racing_operators_wins_and_resends_get_the_same_answer() {
    let mut cluster = start_cluster("race", 1).await;
    let rounds = 520;
    let mut replies: Vec<(String, Value, Value)> = Vec::new();
    for round in 0..rounds {
        let requests = [format!("a-{round}"), format!("b-{round}")];
        let (a, b) = tokio::join!(
            cluster.request_change(&requests[0], submit(round, round * 2)),
            cluster.request_change(&requests[1], submit(round, round * 2 + 1)),
        );
        let won = [&a, &b].iter().filter(|r| r["accepted"].is_object()).count();
        let lost = [&a, &b]
            .iter()
            .filter(|r| r["conflict"]["operator"] == "demo")
            .count();
        assert_eq!((won, lost), (1, 1), "round {round}: {a} {b}");
        if round == 100 {
            cluster.kill("c1");
        }
        if round == 200 {
            cluster.spawn("c1");
            cluster.kill("c2");
        }
        if round == 300 {
            cluster.spawn("c2");
        }
        replies.push((requests[0].clone(), submit(round, round * 2), a));
    }
    // All control processes restart from a snapshot and the records after it.
    for control in ["c1", "c2", "c3"] {
        cluster.kill(control);
    }
    for control in ["c1", "c2", "c3"] {
        cluster.spawn(control);
    }
    for (request, change, reply) in replies.iter().step_by(13) {
        assert_eq!(
            cluster.request_change(request, change.clone()).await,
            *reply,
            "resend of {request}"
        );
    }
    let status = cluster.status().await;
    let newest = &status["state"]["environments"]["notes"]["trial"];
    assert_eq!(newest.as_u64(), Some(rounds));
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_changes_are_refused_with_the_path_and_the_reason() {
    let cluster = start_cluster("refuse", 1).await;
    let mut cases = Vec::new();
    for (field, value, path) in [
        ("members_per_replica", json!(0), "members_per_replica"),
        ("members_per_replica", json!("two"), "members_per_replica"),
        ("replicas_per_availability_zone", json!({"nowhere": 1}), "nowhere"),
        ("surprise", json!(1), "surprise"),
        ("limits", json!({"in_flight_cold": 99}), "limits.in_flight_cold"),
        ("client_accounts", json!([]), "client_accounts"),
    ] {
        let mut document = document(1);
        document[field] = value;
        cases.push((document, path));
    }
    for (i, (document, path)) in cases.into_iter().enumerate() {
        let change = json!({"submit": {"environment": "notes", "base": 0, "text": document.to_string()}});
        let reply = cluster.request_change(&format!("bad-{i}"), change).await;
        let message = reply["error"]["message"].as_str().unwrap_or("");
        assert!(message.contains(path), "{path}: {reply}");
    }
    let reply = cluster
        .request_change("zone", json!({"set_zone": {"zone": "nowhere", "out": true}}))
        .await;
    assert!(reply["error"]["message"].as_str().unwrap().contains("nowhere"));
    let status = cluster.status().await;
    assert_eq!(status["state"]["environments"], json!({}), "nothing was accepted");
    let url = format!("http://{}/operator/status", cluster.site.control_addresses()[0]);
    let unauthorized = cluster
        .call("GET", &url, &[("authorization", "Bearer no")], "")
        .await;
    assert_eq!(unauthorized.unwrap().status, 401);
}

#[tokio::test(flavor = "multi_thread")]
async fn promotion_applies_the_trial_text_on_all_entries_in_time() {
    let mut cluster = start_cluster("promote", 7).await;
    cluster.submit_and_promote(&document(1)).await;
    cluster.wait_until_served().await;
    cluster.kill("e7");
    sleep(Duration::from_millis(2_500)).await;
    let mut slowest = Duration::ZERO;
    for round in 0..5_u64 {
        let text = document(100 + round).to_string();
        let submit = json!({"submit": {"environment": "notes", "base": round + 1, "text": text}});
        let reply = cluster.request_change(&format!("s{round}"), submit).await;
        let version = reply["accepted"]["version"].as_u64().expect("accepted");
        let promote = json!({"promote": {"environment": "notes", "version": version, "base": round + 1}});
        let reply = cluster.request_change(&format!("p{round}"), promote).await;
        let accepted = std::time::Instant::now();
        let index = reply["accepted"]["index"].as_u64().expect("accepted");
        loop {
            let status = cluster.status().await;
            let production = &status["state"]["environments"]["notes"]["production"];
            assert_eq!(production.as_u64(), Some(version), "never an older version");
            let applied = status["applied"].as_object().unwrap();
            if applied.values().all(|a| a.as_u64() >= Some(index)) {
                let versions = status["state"]["environments"]["notes"]["versions"]
                    .as_array()
                    .unwrap();
                assert_eq!(versions.last().unwrap()["text"], text.as_str());
                break;
            }
            assert!(
                accepted.elapsed() < Duration::from_secs(6),
                "applied by all entries within 6 s"
            );
        }
        slowest = slowest.max(accepted.elapsed());
    }
    println!("slowest change in force on 6 entries, one killed: {slowest:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_voter_with_a_lost_disk_returns_under_a_new_identity() {
    let mut cluster = start_cluster("lost-disk", 1).await;
    for i in 0..30 {
        cluster.request_change(&format!("s{i}"), submit(i, i)).await;
    }
    cluster.kill("c3");
    let data = cluster.site.controls[2].data_folder.clone();
    std::fs::remove_dir_all(&data).unwrap();
    cluster.spawn("c3");
    let code = cluster.exit_code("c3", Duration::from_secs(5)).await;
    assert_eq!(code, Some(78), "an empty folder is refused");
    assert!(cluster.log("c3").contains("no identity"), "{}", cluster.log("c3"));
    let identity = cluster.run_control_once("c3", "--join");
    assert!(identity.starts_with("c3~"), "{identity}");
    cluster.spawn("c3");
    let url = format!("http://{}/operator/voters", cluster.site.control_addresses()[0]);
    let authorization = format!("Bearer {}", Site::operator_key());
    let headers = [("authorization", authorization.as_str())];
    let admitted = cluster.call("POST", &url, &headers, &identity).await.unwrap();
    assert_eq!(admitted.status, 200, "{admitted:?}");
    let mut voters = Vec::new();
    for _ in 0..100 {
        let status = cluster.status().await;
        voters = status["voters"].as_array().unwrap().clone();
        if voters.len() == 3 && voters.contains(&json!(identity)) {
            break;
        }
        sleep(Duration::from_millis(100)).await;
    }
    assert!(
        voters.contains(&json!(identity)) && !voters.contains(&json!("c3")),
        "{voters:?}"
    );
    // The new identity votes: with another voter killed the log still commits.
    cluster.kill("c1");
    let reply = cluster.request_change("after", submit(30, 99)).await;
    assert_eq!(reply["accepted"]["version"], 31, "{reply}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_voter_with_a_full_disk_stops_and_loses_nothing() {
    let mut cluster = start_cluster("full-disk", 1).await;
    cluster.request_change("s0", submit(0, 0)).await;
    cluster.kill("c2");
    // 64 blocks of 512 bytes: the write that exceeds 32 KiB fails.
    cluster.spawn_with_file_limit("c2", 64);
    let mut version = 1;
    let mut code = None;
    while code.is_none() && version < 200 {
        let reply = cluster
            .request_change(&format!("s{version}"), submit(version, version))
            .await;
        version = reply["accepted"]["version"].as_u64().expect("the others go on");
        code = cluster.exit_code("c2", Duration::from_millis(1)).await;
    }
    assert_eq!(code, Some(74), "the voter stopped at version {version}");
    cluster.spawn("c2");
    // With another voter killed, a majority needs the records of the voter that had stopped.
    sleep(Duration::from_millis(1_500)).await;
    cluster.kill("c1");
    let status = cluster.status().await;
    assert_eq!(
        status["state"]["environments"]["notes"]["trial"].as_u64(),
        Some(version)
    );
}
