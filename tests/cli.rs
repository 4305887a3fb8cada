//! The operator command against real processes.

mod common;

use std::process::Command;
use std::process::Output;

use common::Cluster;
use common::engine_document;
use common::vms;
use heatherramp::cli::Site;

fn run(running: &Cluster, words: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_heatherramp"))
        .arg("--control")
        .arg(running.site.control_addresses().join(","))
        .args(words)
        .env("HEATHERRAMP_OPERATOR_KEY", Site::operator_key())
        .output()
        .expect("the command runs")
}

fn text(output: &Output) -> String {
    let out = String::from_utf8_lossy(&output.stdout);
    format!("{out}{}", String::from_utf8_lossy(&output.stderr))
}

fn ok(running: &Cluster, words: &[&str]) -> String {
    let output = run(running, words);
    assert!(output.status.success(), "{words:?}: {}", text(&output));
    text(&output)
}

#[tokio::test(flavor = "multi_thread")]
async fn documents_zones_and_status() {
    let running = Cluster::start("cli", (1, 1), &["north"], |_, upstreams| {
        upstreams.vms = vms(&["north"], 1);
    })
    .await;
    running.status().await;
    let file = running.site.folder.join("notes.json");
    let path = file.display().to_string();
    let write = |queue: u64| {
        let mut document = engine_document(&["north"], 1, 1);
        document["limits"]["queue"] = queue.into();
        let text = serde_json::to_string_pretty(&document).unwrap();
        std::fs::write(&file, format!("// queue {queue}\n{text}\n")).unwrap();
    };
    write(100);
    assert!(ok(&running, &["env", "submit", &path]).contains("version 1"));
    ok(&running, &["env", "promote", "notes"]);
    assert!(ok(&running, &["env", "wait", "notes"]).contains("in force on 1 entries"));
    running.wait_until_served().await;
    write(200);
    ok(&running, &["env", "submit", &path]);
    ok(&running, &["env", "promote", "notes"]);
    assert!(ok(&running, &["env", "show", "notes"]).contains("// queue 200"));
    assert!(ok(&running, &["env", "diff", "notes", "--from", "1", "--to", "2"]).contains("+// queue 200"));
    assert!(ok(&running, &["env", "rollback", "notes", "--to", "1"]).contains("version 3"));
    assert!(ok(&running, &["env", "show", "notes"]).contains("// queue 100"));
    assert_eq!(ok(&running, &["env", "history", "notes"]).lines().count(), 3);
    ok(&running, &["zone", "out", "north"]);
    assert!(ok(&running, &["status"]).contains("north"));
    ok(&running, &["zone", "in", "north"]);
    let status: serde_json::Value = serde_json::from_str(&ok(&running, &["status", "--json"])).unwrap();
    assert_eq!(status["state"]["environments"]["notes"]["production"], 3);
    refusals(&running, &path);
}

fn refusals(running: &Cluster, path: &str) {
    let cases: [(&[&str], i32, &str); 5] = [
        (
            &["env", "submit", path, "--base", "0"],
            75,
            "demo made version 3 first",
        ),
        (&["env", "show", "nothing"], 65, "no environment nothing"),
        (&["zone", "out", "nowhere"], 65, "known: north"),
        (&["env", "submit", "/no/such/file"], 64, "/no/such/file"),
        (&["env", "rollback", "notes", "--to", "99"], 65, "version 99"),
    ];
    for (words, code, message) in cases {
        let output = run(running, words);
        assert_eq!(output.status.code(), Some(code), "{words:?}: {}", text(&output));
        assert!(text(&output).contains(message), "{}", text(&output));
    }
    let unknown = run(running, &["no-such-command"]);
    assert_eq!(unknown.status.code(), Some(2));
}

#[test]
fn settings_are_checked_without_starting() {
    let folder = common::folder("check");
    std::fs::create_dir_all(&folder).unwrap();
    let cases = [
        (
            "{\"availability_zone\": \"north\", \"control\": [{\"name\": \"c1\", \"address\": \"127.0.0.1:1\"}]}",
            0,
            "is valid",
        ),
        ("{\"surprise\": 1}", 78, "surprise"),
        (
            "{\"availability_zone\": \"north\", \"control\": []}",
            78,
            "control: must not be empty",
        ),
        (
            "{\"dispatch\": {\"probe_ms\": \"often\"}}",
            78,
            "dispatch.probe_ms",
        ),
    ];
    for (content, code, message) in cases {
        let path = folder.join("entry.json");
        std::fs::write(&path, content).unwrap();
        let output = Command::new(env!("CARGO_BIN_EXE_heatherramp-entry"))
            .arg("--settings")
            .arg(&path)
            .arg("--check-settings")
            .output()
            .unwrap();
        assert_eq!(output.status.code(), Some(code), "{content}: {}", text(&output));
        assert!(text(&output).contains(message), "{}", text(&output));
    }
    std::fs::remove_dir_all(&folder).unwrap();
}
