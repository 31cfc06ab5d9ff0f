//! Keys of client accounts in a tier with discovered hosts.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use wagtailbeam_adapter::dialect::Dialect as _;
use wagtailbeam_fakes::caller;
use wagtailbeam_platform::Dialect;
use wagtailbeam_platform::encode;
use wagtailbeam_soak::deployment;
use wagtailbeam_soak::deployment::Deployment;

use crate::tier;
use crate::tier::Tier;

const ENTRY_HOSTS: usize = 2;

/// Time within which a configuration reaches all hosts.
const SPREAD: Duration = Duration::from_secs(4);

type Heads = Arc<Mutex<Vec<String>>>;

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
async fn start_recorder(deployment: &Deployment, heads: Heads) -> encode::Replica {
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

fn account(name: &str, keys: &[&str]) -> encode::Account {
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
