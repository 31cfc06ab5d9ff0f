//! Planned stops while servers are silent: each request that was taken is answered.

use std::io::Read as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use wagtailbeam_fakes::caller;
use wagtailbeam_platform::encode;
use wagtailbeam_soak::deployment;
use wagtailbeam_soak::deployment::Deployment;
use wagtailbeam_soak::process::Signal;

use crate::accounts::account;
use crate::tier;
use crate::tier::Tier;

/// Time from a stop request to the end of the process, as the settings of the tests have it.
const STOP_MAX: Duration = Duration::from_secs(4);

/// Time from a stop request to the last request.
const LATE: Duration = Duration::from_secs(2);

const SILENT_PATH: &str = "/once/silent";

/// Paths of the requests that the server took.
type Taken = Arc<Mutex<Vec<String>>>;

/// A server that answers no request for a path that begins with [`SILENT_PATH`], and closes all
/// other connections.
fn start_silent(deployment: &Deployment, taken: Taken) -> encode::Replica {
    let listener = std::net::TcpListener::bind(deployment.backend_address()).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut held = Vec::new();
        for mut stream in listener.incoming().flatten() {
            let mut head = [0; 64];
            let length = stream.read(&mut head).unwrap_or_default();
            let head = String::from_utf8_lossy(&head[..length]).to_string();
            let path = head.split(' ').nth(1).unwrap_or_default();
            if path.starts_with(SILENT_PATH) {
                taken.lock().unwrap().push(path.to_owned());
                held.push(stream);
            }
        }
    });
    encode::Replica {
        id: "silent".into(),
        service: deployment.at_most_once.clone(),
        address,
        domain: deployment::domain(0),
        draining: false,
        version: None,
    }
}

/// Status of a request, and when the answer came; no status if the connection ends without one.
async fn status(address: SocketAddr, request: caller::Request) -> (Option<u16>, Instant) {
    let answer = caller::send(address, &request).await;
    (answer.ok().map(|answer| answer.status), Instant::now())
}

/// Guards against requests, among them such that may run at most once, that a stopping host takes
/// late, passes on and cuts without an answer when it ends.
#[test]
fn a_stopping_entry_host_answers_each_request_that_it_took() {
    tier::run(async {
        let folder = tier::folder("stop");
        let deployment = Deployment::new(2, 1);
        let taken = Taken::default();
        let silent = start_silent(&deployment, taken.clone());
        let mut tier = Tier::start(deployment, &folder, vec![silent], "").await;
        let document = tier.document(1, vec![account("x", &["key-of-x"])]);
        tier.put(document.replace("1500", "30000")).await;
        while tier.send(0, "x", "/once/x").await.status != 502 {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let address = tier.deployment.caller_address(0);
        let start = |name: &str| {
            let mut request = tier::request("key-of-x", &format!("{SILENT_PATH}-{name}"));
            for (_, value) in &mut request.headers {
                if value == "2000" {
                    *value = "30000".to_owned();
                }
            }
            tokio::spawn(status(address, request))
        };
        let early = start("early");
        tokio::time::sleep(Duration::from_millis(200)).await;
        tier.entries[0].signal(Signal::Term).unwrap();
        let stopped = Instant::now();
        tokio::time::sleep(LATE).await;
        let late = start("late");
        for (name, answer) in [("early", early), ("late", late)] {
            let (status, at) = answer.await.unwrap();
            let took = at.duration_since(stopped);
            let was_sent = taken
                .lock()
                .unwrap()
                .contains(&format!("{SILENT_PATH}-{name}"));
            let expected = if was_sent { 504 } else { 503 };
            assert_eq!(status, Some(expected), "{name}, {took:?}");
            assert!(took < STOP_MAX, "{name}, {took:?}");
        }
        let ended = tokio::time::timeout(STOP_MAX, async {
            while tier.entries[0].reap().unwrap().is_none() && tier.entries[0].is_running() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        });
        assert!(ended.await.is_ok(), "the process outlives the stop");
        assert!(stopped.elapsed() < STOP_MAX, "{:?}", stopped.elapsed());
    });
}
