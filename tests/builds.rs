//! Processes that are replaced one after the other by those of another build, and back.
//!
//! `HEATHERRAMP_OTHER_BUILD` names the folder of the other build's programs; without it both are this build.

mod site;

use std::path::Path;

use site::ACCOUNT_KEY;
use site::Site;
use site::Vm;
use site::call;
use site::document;

/// Changes that make each controller take a snapshot.
const CHANGES_BEYOND_SNAPSHOT: usize = 110;

fn other_build(program: &str, own: &str) -> String {
    match std::env::var("HEATHERRAMP_OTHER_BUILD") {
        Ok(folder) => Path::new(&folder).join(program).display().to_string(),
        Err(_) => own.to_owned(),
    }
}

/// State of the site as its users see it.
struct Users {
    version: u32,
    departed: u32,
}

impl Users {
    /// Changes the configuration and a zone, lets a VM leave, and asserts that all are in force.
    async fn use_site(&mut self, site: &mut Site, step: &str) {
        self.version += 1;
        let text = document(self.version.into());
        let (status, _) = site
            .call_controllers("PUT", "/configuration", &text)
            .await
            .unwrap();
        assert_eq!(status, 200, "{step}");
        let (status, read) = site.call_controllers("GET", "/configuration", "").await.unwrap();
        assert_eq!((status, read.as_ref()), (200, text.as_bytes()), "{step}");
        for method in ["POST", "DELETE"] {
            let (status, _) = site
                .call_controllers(method, "/evacuations/z9", "")
                .await
                .unwrap();
            assert_eq!(status, 200, "{step}");
        }
        self.departed += 1;
        let id = format!("desk{}", self.departed);
        Vm::start(&id, "desk", site.controllers.clone()).await;
        let path = format!("/replicas/{id}");
        let (status, _) = site.call_controllers("DELETE", &path, "").await.unwrap();
        assert_eq!(status, 200, "{step}");
        let bearer = format!("Bearer {ACCOUNT_KEY}");
        let authorization = ("authorization", bearer.as_str());
        site.send_until("/notes/0", &[authorization], 200).await;
        for (name, child) in &mut site.processes {
            let ended = child.try_wait().unwrap();
            assert!(ended.is_none(), "{step}: {name} has ended: {ended:?}");
        }
    }
}

/// Guards against processes that end, or data that is lost, while builds run side by side.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn builds_may_be_replaced_one_process_at_a_time_and_back() {
    let own = [
        env!("CARGO_BIN_EXE_heatherramp-fleet").to_owned(),
        env!("CARGO_BIN_EXE_heatherramp-gateway").to_owned(),
    ];
    let other = [
        other_build("heatherramp-fleet", &own[0]),
        other_build("heatherramp-gateway", &own[1]),
    ];
    let mut site = Site::start_with(240, &other[0], &other[1]);
    for i in 0..2 {
        Vm::start(&format!("vm{i}"), "engine", site.controllers.clone()).await;
    }
    Vm::start("desk0", "desk", site.controllers.clone()).await;
    let mut users = Users {
        version: 2,
        departed: 0,
    };
    users.use_site(&mut site, "at first").await;
    for (build, programs) in [("this build", &own), ("the other build", &other)] {
        for name in ["fleet0", "fleet1", "fleet2", "gateway-g1"] {
            let program = &programs[usize::from(name.starts_with("gateway"))];
            for signal in ["TERM", "KILL"] {
                site.replace(name, signal, program);
                let step = format!("{name} of {build}, after {signal}");
                users.use_site(&mut site, &step).await;
            }
        }
        for _ in 0..CHANGES_BEYOND_SNAPSHOT {
            let controller = site.controllers[0];
            let _ = call(controller, "POST", "/evacuations/z9", "", &[]).await;
            let _ = call(controller, "DELETE", "/evacuations/z9", "", &[]).await;
        }
        users
            .use_site(&mut site, &format!("after snapshots of {build}"))
            .await;
    }
}
