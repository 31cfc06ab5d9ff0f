//! Memory of a host while several servers send answers without end. A test of its own, as memory is
//! that of the whole process.

#![expect(clippy::unwrap_used, reason = "a failed step is a failed test")]

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::sync::mpsc;
use tokio::time::timeout;
use wagtailbeam_adapter::pool::Options;
use wagtailbeam_adapter::pool::Pool;

/// Servers of each kind that send without end.
const SERVERS: u32 = 6;

/// Calls to a sound server beside them.
const SOUND_CALLS: u32 = 100;

/// Time within which all calls must end.
const END_MAX: Duration = Duration::from_secs(20);

/// Most bytes of answers that the pool may buffer.
const BUFFERED_MAX: usize = 16 * 1024 * 1024;

/// Most memory that the process may take on, the servers' threads included: half of the smallest host
/// of the users' sheets, which has 260 MB.
const GROWTH_MAX_KIB: u64 = 127 * 1024;

/// A server that sends `first` once on each connection and then `again` without end.
fn start(first: &'static [u8], again: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            std::thread::spawn(move || {
                let mut request = [0; 1_024];
                let mut sending = stream.read(&mut request).is_ok_and(|count| count > 0)
                    && stream.write_all(first).is_ok();
                while sending && !again.is_empty() {
                    sending = stream.write_all(again).is_ok();
                }
                drop(stream.read(&mut request));
            });
        }
    });
    address
}

/// Most memory that the process has taken so far, in KiB.
fn peak_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let number = line.unwrap().split_whitespace().nth(1);
    number.unwrap().parse().unwrap()
}

/// Guards against a host that keeps what several servers send without end, in heads and in bodies, runs
/// out of memory, and ends the requests of other callers with it.
#[tokio::test]
async fn answers_without_end_of_several_servers_take_bounded_memory() {
    const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\n";
    const LONG: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n";
    const OPEN: &[u8] = b"HTTP/1.1 200 OK\r\n\r\n";
    const CHUNKED: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
    let kinds: [(&[u8], &[u8]); 7] = [
        (b"", &[b'x'; 65_536]),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        (HEAD, b"x-more: 0123456789\r\n"),
        (LONG, &[b'x'; 65_536]),
        (OPEN, &[b'x'; 65_536]),
        (CHUNKED, &[b'0'; 65_536]),
        (CHUNKED, b"4\r\n0000\r\n"),
    ];
    let servers = (0..SERVERS).flat_map(|_| kinds);
    let mut targets = servers
        .map(|(first, again)| start(first, again))
        .collect::<Vec<_>>();
    let bad = targets.len();
    targets.extend(vec![start(ANSWER, b""); SOUND_CALLS as usize]);
    let before = peak_kib();
    let (sender, mut events) = mpsc::channel(1_024);
    let mut pool = Pool::new(sender, 8 * 1024 * 1024).with_buffered_max(BUFFERED_MAX);
    for (ticket, address) in targets.iter().enumerate() {
        let options = Options {
            address: *address,
            connections_max: SOUND_CALLS,
            avoid_stale: false,
            keep: true,
        };
        let request = Request::builder().uri("/x").header("host", "desk");
        let request = request.body(Full::new(Bytes::new())).unwrap();
        pool.call(ticket, options, request);
    }
    let (mut failed, mut answered) = (0, 0);
    while failed + answered < targets.len() {
        let event = timeout(END_MAX, events.recv()).await.unwrap().unwrap();
        assert!(pool.buffered() <= BUFFERED_MAX);
        match pool.handle(event) {
            Some((ticket, result)) if ticket < bad => failed += usize::from(result.is_err()),
            Some((_, result)) => answered += usize::from(result.is_ok()),
            None => {}
        }
    }
    let growth = peak_kib() - before;
    println!("{bad} answers without end and {SOUND_CALLS} others: {growth} KiB");
    assert_eq!((failed, answered), (bad, SOUND_CALLS as usize));
    assert!(growth < GROWTH_MAX_KIB, "{growth} KiB");
}
