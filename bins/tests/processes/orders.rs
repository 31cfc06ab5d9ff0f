//! Orders of operators that a suspended voter finds in its socket.

use std::io::Write as _;
use std::net::TcpStream;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use wagtailbeam_decision::tier::DOCUMENT_MAX_BYTES;
use wagtailbeam_platform::encode;
use wagtailbeam_platform::encode::EVACUATIONS_PREFIX;
use wagtailbeam_soak::deployment::Deployment;
use wagtailbeam_soak::deployment::VOTERS;
use wagtailbeam_soak::process::Signal;

use crate::tier;
use crate::tier::Tier;

/// Time for which operators wait for an answer.
const PATIENCE: Duration = Duration::from_secs(1);

/// Time for all voters to learn of a decided order.
const SPREAD: Duration = Duration::from_secs(1);

/// Longest wait for all voters to vote.
const START_MAX: Duration = Duration::from_secs(30);

fn log(folder: &Path, voter: usize) -> String {
    std::fs::read_to_string(folder.join(format!("voter-{voter}.log"))).unwrap_or_default()
}

/// Waits until all voters vote; the group grows while it starts.
async fn wait_voting(folder: &Path) {
    let started = Instant::now();
    let votes = |voter| log(folder, voter).contains(r#""mode":"voting""#);
    while !(0..VOTERS).all(votes) {
        assert!(started.elapsed() < START_MAX, "not all voters vote");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Gives an order on the failure domain at a voter and requires that it is acknowledged.
async fn order(tier: &Tier, voter: usize, method: &str, path: &str) {
    let answer = tier.operate(voter, method, path, "").await;
    assert_eq!(answer.map(|answer| answer.status), Some(200), "{method}");
}

/// Guards against an acknowledged evacuation that is undone: a suspended voter holds an order to
/// take back an earlier one, whose operator has left and given it to another voter.
#[test]
fn a_voter_that_resumes_carries_out_no_order_whose_operator_has_left() {
    tier::run(async {
        let folder = tier::folder("orders");
        let mut tier = Tier::start(Deployment::new(2, 1), &folder, Vec::new(), "").await;
        tier.configure(1, Vec::new()).await;
        wait_voting(&folder).await;
        let path = format!(
            "{EVACUATIONS_PREFIX}{}",
            wagtailbeam_soak::deployment::domain(0)
        );
        order(&tier, 1, "POST", &path).await;
        tier.voters[0].signal(Signal::Stop).unwrap();
        let mut held = TcpStream::connect(tier.deployment.operator_address(0)).unwrap();
        let head = format!("DELETE {path} HTTP/1.1\r\nHost: control\r\nContent-Length: 0\r\n\r\n");
        held.write_all(head.as_bytes()).unwrap();
        tokio::time::sleep(PATIENCE).await;
        drop(held);
        order(&tier, 1, "DELETE", &path).await;
        order(&tier, 2, "POST", &path).await;
        tier.voters[0].signal(Signal::Cont).unwrap();
        tokio::time::sleep(SPREAD).await;
        let log = log(&folder, 0);
        let last = log.lines().rfind(|line| line.contains("state chosen"));
        let last = last.unwrap();
        assert!(last.contains("\"closed\":1"), "{last}");
        assert!(!log.contains("overtaken"), "{log}");
    });
}

/// A configuration that blanks at its end make as long as this.
fn padded(tier: &Tier, version: u64, bytes: usize) -> String {
    let document = tier.document(version, Vec::new());
    let blanks = bytes - document.len();
    document + &" ".repeat(blanks)
}

/// Guards against a configuration that passes the check of its length and then ends each voter, since
/// its record doesn't fit into the store.
#[test]
fn a_configuration_that_is_too_long_is_refused_and_ends_no_voter() {
    tier::run(async {
        let folder = tier::folder("long-configuration");
        let mut tier = Tier::start(Deployment::new(2, 1), &folder, Vec::new(), "").await;
        tier.configure(1, Vec::new()).await;
        wait_voting(&folder).await;
        let path = encode::CONFIGURATION_PATH;
        for bytes in [DOCUMENT_MAX_BYTES + 1, 16_777_200] {
            let document = padded(&tier, 2, bytes);
            let answer = tier.operate(0, "PUT", path, &document).await.unwrap();
            assert_eq!(answer.status, 413, "{bytes} bytes");
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            assert!(body.contains(&DOCUMENT_MAX_BYTES.to_string()), "{body}");
        }
        tokio::time::sleep(SPREAD).await;
        for voter in &mut tier.voters {
            assert!(voter.is_running());
        }
        tier.configure(2, Vec::new()).await;
        let read = tier.operate(1, "GET", path, "").await;
        let current = tier.document(2, Vec::new());
        assert!(read.is_some_and(|answer| answer.body == current.as_bytes()));
    });
}
