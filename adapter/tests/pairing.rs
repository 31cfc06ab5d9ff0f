//! Servers that send second copies of answers late, on connections that are used again.

#![expect(clippy::unwrap_used, reason = "a failed step is a failed test")]

use std::collections::VecDeque;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HeaderName;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use tokio::sync::mpsc;
use tokio::time::timeout;
use wagtailbeam_adapter::carriers::Carriers;
use wagtailbeam_adapter::pool;
use wagtailbeam_adapter::pool::Options;
use wagtailbeam_adapter::pool::Pool;

/// Time within which each call must end.
const END_MAX: Duration = Duration::from_secs(5);

/// Requests of a run; each is sent until it is accepted, four times at most.
const REQUESTS: u32 = 4_000;

const SENDS_MAX: u32 = 4;

const CONNECTIONS_MAX: u32 = 3;

const SEED: u64 = 40;

/// Header with the identifier of a request; all its sends have the same one.
const REQUEST_ID: &str = "x-request-id";

/// Header with a number of the send; pools don't know it.
const SEND: &str = "x-send";

/// Value of a header in the next head; none at the end of the connection.
fn read_head(reader: &mut BufReader<TcpStream>) -> Option<(String, String)> {
    let (mut id, mut send) = (String::new(), String::new());
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        match line.trim().split_once(": ") {
            Some((REQUEST_ID, value)) => id = value.to_owned(),
            Some((SEND, value)) => send = value.to_owned(),
            Some(_) => {}
            None if line == "\r\n" => return Some((id, send)),
            None => {}
        }
    }
}

/// Rejects half of the requests. Sends a second copy of one answer in five, where the next answer or
/// the one after it is due.
fn serve(stream: TcpStream, seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut writer = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    let mut late = VecDeque::<(u32, String)>::new();
    while let Some((id, send)) = read_head(&mut reader) {
        let mut bytes = String::new();
        late.retain_mut(|(wait, copy)| {
            if *wait == 0 {
                bytes += copy;
            }
            let keeps = *wait > 0;
            *wait = wait.saturating_sub(1);
            keeps
        });
        let status = if random.random_bool(0.5) {
            "200 OK"
        } else {
            "503 Full"
        };
        let answer = format!(
            "HTTP/1.1 {status}\r\n{REQUEST_ID}: {id}\r\n{SEND}: {send}\r\ncontent-length: 0\r\n\r\n"
        );
        if random.random_bool(0.2) {
            late.push_back((random.random_range(0..2), answer.clone()));
        }
        bytes += &answer;
        if writer.write_all(bytes.as_bytes()).is_err() {
            return;
        }
    }
}

fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for (stream, seed) in listener.incoming().flatten().zip(SEED..) {
            std::thread::spawn(move || serve(stream, seed));
        }
    });
    address
}

/// What became of all sends.
#[derive(Debug, Default)]
struct Counts {
    sends: u32,
    /// Answers that echo another identifier.
    foreign: u32,
    /// Answers with the identifier of the request that belong to another send of it.
    mistaken: u32,
    connections: u64,
    /// Most connections open at a time.
    open: u32,
}

/// Sends all requests one after the other and pairs their answers by the identifier.
async fn run(has_carriers: bool) -> Counts {
    let address = start();
    let (sender, mut events) = mpsc::channel(64);
    let mut pool = Pool::new(sender, 1_024).with_echo(HeaderName::from_static(REQUEST_ID));
    let mut counts = Counts::default();
    for request in 0..REQUESTS {
        let (id, carriers) = (format!("r-{request}"), Carriers::default());
        for _ in 0..SENDS_MAX {
            counts.sends += 1;
            let send = counts.sends.to_string();
            let outgoing = Request::get("/x").header("host", "desk");
            let outgoing = outgoing.header(REQUEST_ID, &id).header(SEND, &send);
            let mut outgoing = outgoing.body(Full::new(Bytes::new())).unwrap();
            if has_carriers {
                outgoing.extensions_mut().insert(carriers.clone());
            }
            let options = Options {
                address,
                connections_max: CONNECTIONS_MAX,
                avoid_stale: false,
                keep: true,
            };
            pool.call(counts.sends, options, outgoing);
            counts.open = counts.open.max(pool.open_connections());
            let Ok(response) = next(&mut pool, &mut events).await else {
                continue;
            };
            if response.headers[REQUEST_ID] != *id {
                counts.foreign += 1;
                continue;
            }
            counts.mistaken += u32::from(response.headers[SEND] != *send);
            if response.status.is_success() {
                break;
            }
        }
    }
    counts.connections = pool.opened_total();
    counts
}

async fn next(pool: &mut Pool<u32>, events: &mut mpsc::Receiver<pool::Event<u32>>) -> pool::Result {
    loop {
        let event = timeout(END_MAX, events.recv()).await.unwrap().unwrap();
        if let Some((_, result)) = pool.handle(event) {
            return result;
        }
    }
}

/// Guards against a late second copy of a rejection that is taken for the answer to the next send of
/// the same request: the request would run twice, or run and be refused as not run.
#[tokio::test]
async fn a_late_copy_is_never_the_answer_to_another_send_of_its_request() {
    let counts = run(true).await;
    println!("{counts:?}");
    assert_eq!(counts.mistaken, 0, "{counts:?}");
    assert!(counts.foreign > 0, "{counts:?}");
    assert!(counts.open <= CONNECTIONS_MAX + 1, "{counts:?}");
}

/// Shows that the test above finds the fault: without the guard copies are mistaken for answers.
#[tokio::test]
async fn without_carriers_late_copies_are_mistaken() {
    let counts = run(false).await;
    println!("{counts:?}");
    assert!(counts.mistaken > 0, "{counts:?}");
}

/// Guards against a connection that goes on being used after it delivered the answer to another
/// request: one copy would shift the answers of all later requests.
#[tokio::test]
async fn a_connection_with_a_foreign_answer_is_closed() {
    let counts = run(true).await;
    let copies = counts.sends / 5 + counts.sends / 20;
    assert!(counts.foreign < copies, "{counts:?}");
}
