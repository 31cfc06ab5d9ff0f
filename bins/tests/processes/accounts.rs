//! Keys of client accounts in a tier with discovered hosts.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use wagtailbeam_adapter::dialect::Dialect as _;
use wagtailbeam_fakes::caller;
use wagtailbeam_fakes::caller::Connection;
use wagtailbeam_platform::Dialect;
use wagtailbeam_platform::encode;
use wagtailbeam_soak::deployment;
use wagtailbeam_soak::deployment::Deployment;
use wagtailbeam_soak::process::Signal;

use crate::tier;
use crate::tier::Tier;

const ENTRY_HOSTS: usize = 2;

/// Time within which a configuration reaches all hosts.
const SPREAD: Duration = Duration::from_secs(4);

/// Time within which no host takes a revoked key any more.
const REVOKED: Duration = Duration::from_secs(5);

/// Requests under each key that wait at a suspended host.
const QUEUED: usize = 8;

/// Time from which the voters no longer send to a suspended host.
const DROPPED: Duration = Duration::from_secs(4);

/// Longest wait for the answers of a resumed host.
const ANSWER_MAX: Duration = Duration::from_secs(10);

pub type Heads = Arc<Mutex<Vec<String>>>;

/// Answers each request with success and records its head.
async fn answer(mut stream: TcpStream, heads: Heads) {
    let names = Dialect::default().headers().clone();
    let mut head = Vec::new();
    let mut byte = [0];
    while stream.read_exact(&mut byte).await.is_ok() {
        head.push(byte[0]);
        if !head.ends_with(b"\r\n\r\n") {
            continue;
        }
        let text = String::from_utf8(std::mem::take(&mut head)).unwrap();
        let prefix = format!("{}: ", names.request);
        let id = text.lines().find_map(|line| line.strip_prefix(&prefix));
        let reply = format!(
            "HTTP/1.1 200 OK\r\n{}: {}\r\n{}: s\r\ncontent-length: 0\r\n\r\n",
            names.request,
            id.unwrap_or_default(),
            names.stamp
        );
        heads.lock().unwrap().push(text);
        if stream.write_all(reply.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// A replica that records the heads of its requests.
pub async fn start_recorder(deployment: &Deployment, heads: Heads) -> encode::Replica {
    let listener = TcpListener::bind(deployment.backend_address())
        .await
        .unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream, heads.clone()));
        }
    });
    encode::Replica {
        id: "recorder".into(),
        service: deployment.at_most_once.clone(),
        address,
        domain: deployment::domain(0),
        draining: false,
        version: None,
    }
}

pub fn account(name: &str, keys: &[&str]) -> encode::Account {
    encode::Account {
        name: name.into(),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        priority: None,
        rate: 0.0,
        burst: 0.0,
    }
}

/// Status of a request with this key and these further headers.
async fn status(tier: &Tier, entry: usize, key: &str, headers: &[(&str, &str)]) -> u16 {
    let mut request = tier::request(key, "/once/x");
    let headers = headers
        .iter()
        .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()));
    request.headers.extend(headers);
    let address = tier.deployment.caller_address(entry);
    let answer = caller::send(address, &request).await;
    answer.map_or(0, |answer| answer.status)
}

/// Values of a header in a head, in any case of the name.
fn values<'a>(head: &'a str, name: &str) -> Vec<&'a str> {
    let lines = head.lines().filter_map(|line| line.split_once(": "));
    let matching = lines.filter(|(known, _)| known.eq_ignore_ascii_case(name));
    matching.map(|(_, value)| value).collect()
}

/// Guards against keys that reach servers, callers that name an account themselves, requests with
/// unknown keys that run, and withdrawn keys that go on being served.
#[test]
fn servers_are_told_the_account_and_never_the_key() {
    let folder = tier::folder("accounts");
    tier::run(async {
        let deployment = Deployment::new(2, ENTRY_HOSTS);
        let heads = Heads::default();
        let recorder = start_recorder(&deployment, heads.clone()).await;
        let tier = Tier::start(deployment, &folder, vec![recorder], "").await;
        let accounts = vec![account("acme", &["key-of-acme", "second"])];
        tier.configure(1, accounts).await;
        tier.wait_serving("acme").await;
        heads.lock().unwrap().clear();

        let name = Dialect::default().headers().account.to_string();
        let upper = name.to_uppercase();
        let forged = [(name.as_str(), "apex"), (upper.as_str(), "zenith")];
        assert_eq!(status(&tier, 0, "key-of-acme", &forged).await, 200);
        assert_eq!(status(&tier, 1, "second", &[]).await, 200);
        let seen = std::mem::take(&mut *heads.lock().unwrap());
        assert_eq!(seen.len(), 2);
        for head in &seen {
            assert_eq!(values(head, &name), ["acme"], "{head}");
            assert!(!head.to_lowercase().contains("authorization"), "{head}");
            assert!(!head.contains("key-of-acme"), "{head}");
            assert!(!head.contains("second"), "{head}");
        }

        let long = "k".repeat(10_000);
        for key in ["nobody's", "", "two words", long.as_str()] {
            assert_eq!(status(&tier, 0, key, &forged).await, 401, "{key}");
        }
        let twice = [("authorization", "Bearer key-of-acme")];
        assert_eq!(status(&tier, 0, "key-of-acme", &twice).await, 401);
        assert_eq!(*heads.lock().unwrap(), Vec::<String>::new());

        tier.configure(2, vec![account("acme", &["second"])]).await;
        tokio::time::sleep(SPREAD).await;
        for entry in 0..ENTRY_HOSTS {
            assert_eq!(status(&tier, entry, "key-of-acme", &[]).await, 401);
            assert_eq!(status(&tier, entry, "second", &[]).await, 200);
        }
    });
}

/// Opens connections to an entry host.
async fn connect(tier: &Tier, entry: usize) -> Vec<Connection> {
    let address = tier.deployment.caller_address(entry);
    let mut connections = Vec::new();
    for _ in 0..QUEUED {
        connections.push(Connection::open(address).await.unwrap());
    }
    connections
}

/// Sends a request under a key on each of these connections. Returns the tasks that wait for the
/// statuses.
fn queue(connections: Vec<Connection>, key: &str, path: &str) -> Vec<JoinHandle<u16>> {
    let sent = connections.into_iter().map(|mut connection| {
        let request = tier::request(key, path);
        tokio::spawn(async move {
            let answer = connection.send(&request).await;
            answer.map_or(0, |answer| answer.status)
        })
    });
    sent.collect()
}

/// The statuses of queued requests, once all are answered.
async fn statuses(queued: Vec<JoinHandle<u16>>) -> Vec<u16> {
    let mut statuses = Vec::new();
    for request in queued {
        let status = tokio::time::timeout(ANSWER_MAX, request).await;
        statuses.push(status.expect("an answer").unwrap());
    }
    statuses
}

/// Suspends an entry host, revokes a key after a time and resumes the host after that, with
/// requests under that key and a valid one in its sockets.
async fn suspend_while_a_key_is_revoked(name: &str, revoked_after: Duration) {
    let folder = tier::folder(name);
    let deployment = Deployment::new(2, ENTRY_HOSTS);
    let heads = Heads::default();
    let recorder = start_recorder(&deployment, heads.clone()).await;
    let mut tier = Tier::start(deployment, &folder, vec![recorder], "").await;
    let both = vec![account("acme", &["key-of-acme", "second"])];
    tier.configure(1, both).await;
    tier.wait_serving("acme").await;

    let mut for_revoked = connect(&tier, 0).await;
    let for_valid = connect(&tier, 0).await;
    tier.entries[0].signal(Signal::Stop).unwrap();
    tokio::time::sleep(revoked_after).await;
    for_revoked.extend(connect(&tier, 0).await);
    let revoked = queue(for_revoked, "key-of-acme", "/once/revoked");
    let valid = queue(for_valid, "second", "/once/valid");
    tier.configure(2, vec![account("acme", &["second"])]).await;
    tokio::time::sleep(REVOKED).await;
    tier.entries[0].signal(Signal::Cont).unwrap();

    let revoked = statuses(revoked).await;
    let valid = statuses(valid).await;
    println!("{revoked_after:?}: revoked key {revoked:?}, valid key {valid:?}");
    let ran = std::mem::take(&mut *heads.lock().unwrap());
    let ran = ran.iter().filter(|head| head.contains("/once/revoked"));
    assert_eq!(ran.count(), 0, "{revoked:?}");
    let refused = |status: &u16| matches!(status, 401 | 503);
    assert!(revoked.iter().all(refused), "{revoked:?}");
    let served = |status: &u16| matches!(status, 200 | 503);
    assert!(valid.iter().all(served), "{valid:?}");
    tokio::time::sleep(SPREAD).await;
    assert_eq!(status(&tier, 0, "key-of-acme", &[]).await, 401);
    assert_eq!(status(&tier, 0, "second", &[]).await, 200);
}

/// Guards against a resumed host that takes a revoked key for the requests in its sockets, since it
/// handles them before the configuration that waits there as well.
#[test]
fn a_resumed_host_takes_no_key_that_was_revoked_as_it_was_suspended() {
    tier::run(suspend_while_a_key_is_revoked(
        "accounts-suspended",
        Duration::ZERO,
    ));
}

/// Guards against a resumed host that takes a revoked key for the requests in its sockets, since the
/// voters had dropped it before and it doesn't learn of the revocation at once.
#[test]
fn a_resumed_host_takes_no_key_that_was_revoked_after_the_voters_dropped_the_host() {
    tier::run(suspend_while_a_key_is_revoked("accounts-dropped", DROPPED));
}
