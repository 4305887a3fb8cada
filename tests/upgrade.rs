//! Rollout of a new model version without an interruption of service.

mod common;

use std::time::Duration;

use common::Cluster;
use common::engine_document;
use common::vms;
use serde_json::json;
use tokio::time::sleep;

#[tokio::test(flavor = "multi_thread")]
async fn a_new_model_version_replaces_groups_one_by_one_without_spare_vms() {
    let zones = ["north", "south"];
    let cluster = Cluster::start("upgrade", (1, 2), &zones, |_, upstreams| {
        upstreams.vms = vms(&zones, 4);
        upstreams.cold_calls = 0;
        upstreams.load_ms = 500;
    })
    .await;
    cluster.submit_and_promote(&engine_document(&zones, 2, 2)).await;
    cluster.wait_until_served().await;
    sleep(Duration::from_millis(1_500)).await;
    let mut document = engine_document(&zones, 2, 2);
    document["model_version"] = "2".into();
    let submit = json!({"submit": {"environment": "notes", "base": 1, "text": document.to_string()}});
    cluster.request_change("submit-2", submit).await;
    let promote = json!({"promote": {"environment": "notes", "version": 2, "base": 1}});
    cluster.request_change("promote-2", promote).await;
    let mut calls = 0;
    loop {
        let entry = cluster.entry_address(["e1", "e2"][calls % 2]);
        let answer = cluster
            .chat(&entry, &format!("upgrade {calls}"), 4)
            .await
            .expect("an answer");
        assert_eq!(answer.status, 200, "call {calls}: {}", answer.text);
        calls += 1;
        let status = cluster.status().await;
        let groups = status["state"]["groups"].as_object().unwrap().clone();
        let new_groups = groups.values().filter(|g| g["version"] == 2).count();
        let is_ready = |g: &serde_json::Value| {
            let members = g["members"].as_array().unwrap();
            members
                .iter()
                .all(|m| status["vms"][m["vm"].as_str().unwrap()]["ready"] == true)
        };
        if new_groups == 4 && groups.len() == 4 && groups.values().all(is_ready) {
            break;
        }
        assert!(calls < 600, "{groups:?}");
        sleep(Duration::from_millis(50)).await;
    }
    println!("{calls} calls served during the upgrade");
}
