//! The operator command `heatherramp` against real processes, and the settings check of a daemon.

mod common;

use std::collections::BTreeSet;
use std::process::Command;
use std::process::Output;

use common::Cluster;
use common::engine_document;
use common::vms;
use heatherramp::cli::Site;

/// Runs `heatherramp` with these arguments, as the operator.
fn run(cluster: &Cluster, arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_heatherramp"))
        .arg("--control")
        .arg(cluster.site.control_addresses().join(","))
        .args(arguments)
        .env("HEATHERRAMP_OPERATOR_KEY", Site::operator_key())
        .output()
        .expect("the command runs")
}

/// Standard output and standard error.
fn text(output: &Output) -> String {
    let out = String::from_utf8_lossy(&output.stdout);
    format!("{out}{}", String::from_utf8_lossy(&output.stderr))
}

/// Runs `heatherramp`, asserts that it succeeds and returns its output.
fn run_successfully(cluster: &Cluster, arguments: &[&str]) -> String {
    let output = run(cluster, arguments);
    assert!(output.status.success(), "{arguments:?}: {}", text(&output));
    text(&output)
}

#[tokio::test(flavor = "multi_thread")]
async fn documents_zones_and_status_from_the_command_line() {
    let cluster = Cluster::start("cli", (1, 1), &["north"], |_, upstreams| {
        upstreams.vms = vms(&["north"], 1);
    })
    .await;
    cluster.status().await;
    let file = cluster.site.folder.join("notes.json");
    let path = file.display().to_string();
    let write_document = |queue: u64| {
        let mut document = engine_document(&["north"], 1, 1);
        document["limits"]["queue"] = queue.into();
        let text = serde_json::to_string_pretty(&document).unwrap();
        std::fs::write(&file, format!("// queue {queue}\n{text}\n")).unwrap();
    };
    write_document(100);
    assert!(run_successfully(&cluster, &["env", "submit", &path]).contains("version 1"));
    run_successfully(&cluster, &["env", "promote", "notes"]);
    assert!(run_successfully(&cluster, &["env", "wait", "notes"]).contains("in force on 1 entries"));
    cluster.wait_until_served().await;
    write_document(200);
    run_successfully(&cluster, &["env", "submit", &path]);
    run_successfully(&cluster, &["env", "promote", "notes"]);
    assert!(run_successfully(&cluster, &["env", "show", "notes"]).contains("// queue 200"));
    assert!(
        run_successfully(&cluster, &["env", "diff", "notes", "--from", "1", "--to", "2"])
            .contains("+// queue 200")
    );
    assert!(run_successfully(&cluster, &["env", "rollback", "notes", "--to", "1"]).contains("version 3"));
    assert!(run_successfully(&cluster, &["env", "show", "notes"]).contains("// queue 100"));
    assert_eq!(
        run_successfully(&cluster, &["env", "history", "notes"])
            .lines()
            .count(),
        3
    );
    run_successfully(&cluster, &["zone", "out", "north"]);
    assert!(run_successfully(&cluster, &["status"]).contains("north"));
    run_successfully(&cluster, &["zone", "in", "north"]);
    let status: serde_json::Value =
        serde_json::from_str(&run_successfully(&cluster, &["status", "--json"])).unwrap();
    assert_eq!(status["state"]["environments"]["notes"]["production"], 3);
    check_refusals(&cluster, &path);
}

/// Guards against a change that is reported to be in force while no entry has it.
#[tokio::test(flavor = "multi_thread")]
async fn no_change_is_in_force_before_an_entry_has_joined() {
    let cluster = Cluster::start("wait", (1, 0), &["north"], |_, _| {}).await;
    cluster.status().await;
    let file = cluster.site.folder.join("notes.json");
    std::fs::write(&file, engine_document(&["north"], 1, 1).to_string()).unwrap();
    run_successfully(&cluster, &["env", "submit", &file.display().to_string()]);
    run_successfully(&cluster, &["env", "promote", "notes"]);
    let output = run(&cluster, &["env", "wait", "notes", "--seconds", "1"]);
    assert!(!output.status.success(), "{}", text(&output));
    assert!(text(&output).contains("no entry has joined"), "{}", text(&output));
    // Nobody sends requests to a zone while no entry has joined.
    run_successfully(&cluster, &["zone", "out", "north"]);
}

/// Asserts the exit code and a part of the message of commands that must fail.
fn check_refusals(cluster: &Cluster, path: &str) {
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
    for (arguments, code, message) in cases {
        let output = run(cluster, arguments);
        assert_eq!(
            output.status.code(),
            Some(code),
            "{arguments:?}: {}",
            text(&output)
        );
        assert!(text(&output).contains(message), "{}", text(&output));
    }
    let unknown = run(cluster, &["no-such-command"]);
    assert_eq!(unknown.status.code(), Some(2));
}

#[test]
fn the_settings_check_does_not_start_the_daemon() {
    let folder = common::temporary_folder("check");
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

/// Guards against two processes of a site that listen on the same port, of which one ends.
#[test]
fn the_processes_of_a_site_have_different_addresses() {
    let folder = std::env::temp_dir().join(format!("heatherramp-ports-{}", std::process::id()));
    let site = Site::new(&folder, 100, 900, &["north"]).expect("a site");
    std::fs::remove_dir_all(&folder).expect("removed");
    let of_controls = site.controls.iter().flat_map(|c| [c.listen_peer, c.listen_http]);
    let of_entries = site.entries.iter().flat_map(|e| [e.listen_peer, e.listen_http]);
    let addresses: BTreeSet<_> = of_controls.chain(of_entries).collect();
    assert_eq!(addresses.len(), 2_000);
}
