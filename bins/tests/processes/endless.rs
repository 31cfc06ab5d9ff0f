//! Callers whose requests never end, at an entry host that serves others.

use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use wagtailbeam_adapter::dialect::Dialect as _;
use wagtailbeam_platform::Dialect;
use wagtailbeam_soak::deployment::Deployment;

use crate::accounts::Heads;
use crate::accounts::account;
use crate::accounts::start_recorder;
use crate::tier;
use crate::tier::Tier;

/// Callers that send without end, one after the other on a new connection each.
const CALLERS: usize = 4;

/// Requests of the other caller.
const REQUESTS: usize = 200;

/// Longest time for an answer to one of them.
const ANSWER_MAX: Duration = Duration::from_millis(500);

/// Sends requests whose body begins with a chunk length without end, until told to stop.
fn send_without_end(address: SocketAddr, fill: u8, stop: &AtomicBool) {
    let id = Dialect::default().headers().request.to_string();
    let head = format!(
        "POST /once/x HTTP/1.1\r\nHost: wagtailbeam\r\nAuthorization: Bearer key-of-x\r\n{id}: a\r\n\
         Transfer-Encoding: chunked\r\n\r\n1"
    );
    let block = vec![fill; 65_536];
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(address) else {
            continue;
        };
        let mut sending = stream.write_all(head.as_bytes()).is_ok();
        while sending && !stop.load(Ordering::Relaxed) {
            sending = stream.write_all(&block).is_ok();
        }
    }
}

/// Guards against a caller that keeps a host from serving others: blanks after a chunk length, or
/// zeros before one, are no data, so that the limit of a body's length doesn't count them.
#[test]
fn callers_are_answered_beside_requests_without_end() {
    tier::run(async {
        let folder = tier::folder("endless");
        let deployment = Deployment::new(2, 1);
        let recorder = start_recorder(&deployment, Heads::default()).await;
        let tier = Tier::start(deployment, &folder, vec![recorder], "").await;
        tier.configure(1, vec![account("x", &["key-of-x"])]).await;
        tier.wait_serving("x").await;
        let address = tier.deployment.caller_address(0);
        let stop = Arc::new(AtomicBool::new(false));
        let callers = (0..CALLERS).map(|caller| {
            let stop = stop.clone();
            let fill = if caller % 2 == 0 { b' ' } else { b'0' };
            std::thread::spawn(move || send_without_end(address, fill, &stop))
        });
        let callers = callers.collect::<Vec<_>>();
        let mut slowest = Duration::ZERO;
        for _ in 0..REQUESTS {
            let started = Instant::now();
            assert_eq!(tier.send(0, "x", "/once/x").await.status, 200);
            slowest = slowest.max(started.elapsed());
        }
        stop.store(true, Ordering::Relaxed);
        callers
            .into_iter()
            .for_each(|caller| caller.join().unwrap());
        println!("slowest of {REQUESTS}: {slowest:?}");
        assert!(slowest < ANSWER_MAX, "{slowest:?}");
    });
}
