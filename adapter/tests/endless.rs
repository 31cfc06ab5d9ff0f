//! Servers whose answers never end, in a thread of their own.

#![expect(clippy::unwrap_used, reason = "a failed step is a failed test")]

use std::collections::HashMap;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::sync::mpsc;
use tokio::time::timeout;
use wagtailbeam_adapter::client::Client;
use wagtailbeam_adapter::pool::Event;
use wagtailbeam_adapter::pool::Failure;
use wagtailbeam_adapter::pool::Options;
use wagtailbeam_adapter::pool::Pool;

/// Time within which a call to such a server must end, or its connection after the call.
const END_MAX: Duration = Duration::from_secs(2);

/// Most bytes that may be taken of an answer without a final head.
const HEAD_BYTES_MAX: usize = 4 * 1024 * 1024;

/// Most bytes that may be sent of a body without data: what is taken, and the sockets' buffers.
const FRAMING_SENT_MAX: usize = 16 * 1024 * 1024;

/// Time within which an operator's call must end.
const OPERATOR_END_MAX: Duration = Duration::from_secs(6);

/// Most bytes that may be sent to an operator: the longest answer with the bytes around its chunks, and
/// the sockets' buffers.
const OPERATOR_SENT_MAX: usize = 192 * 1024 * 1024;

/// A server that sends `first` once and then `again` without end. Returns its address, the number
/// of bytes that it could send, and the number of its open connections.
fn start(
    first: &'static [u8],
    again: &'static [u8],
) -> (SocketAddr, Arc<AtomicUsize>, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sent, open) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let counters = (sent.clone(), open.clone());
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let (sent, open) = counters.clone();
            std::thread::spawn(move || {
                open.fetch_add(1, Ordering::Relaxed);
                let mut request = [0; 1_024];
                let mut sending = stream.read(&mut request).is_ok_and(|count| count > 0)
                    && stream.write_all(first).is_ok();
                while sending {
                    sending = stream.write_all(again).is_ok();
                    sent.fetch_add(again.len(), Ordering::Relaxed);
                }
                open.fetch_sub(1, Ordering::Relaxed);
            });
        }
    });
    (address, sent, open)
}

fn pool() -> (Pool<u32>, mpsc::Receiver<Event<u32>>) {
    let (sender, events) = mpsc::channel(64);
    (Pool::new(sender, 1024 * 1024), events)
}

fn call(pool: &mut Pool<u32>, ticket: u32, address: SocketAddr) {
    let options = Options {
        address,
        connections_max: 40,
        avoid_stale: false,
        keep: true,
    };
    let request = Request::builder().uri("/x").header("host", "desk");
    pool.call(
        ticket,
        options,
        request.body(Full::new(Bytes::new())).unwrap(),
    );
}

/// Failure of the call that ends next.
async fn next(pool: &mut Pool<u32>, events: &mut mpsc::Receiver<Event<u32>>) -> Failure {
    loop {
        let event = timeout(END_MAX, events.recv()).await.unwrap().unwrap();
        if let Some((_, result)) = pool.handle(event) {
            return result.map(drop).unwrap_err();
        }
    }
}

/// Waits until the server has no open connection.
async fn wait_closed(open: &AtomicUsize) {
    let closed = async {
        while open.load(Ordering::Relaxed) > 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    assert!(
        timeout(END_MAX, closed).await.is_ok(),
        "connections stay open"
    );
}

/// Checks that a call to such a server breaks, that its connection closes, and that the server could
/// send fewer bytes than this.
async fn check_broken(first: &'static [u8], again: &'static [u8], bytes_max: usize) {
    let (address, sent, open) = start(first, again);
    let (mut pool, mut events) = pool();
    call(&mut pool, 1, address);
    let failure = next(&mut pool, &mut events).await;
    assert!(matches!(failure, Failure::Broken(_)), "{failure}");
    wait_closed(&open).await;
    let sent = sent.load(Ordering::Relaxed);
    assert!(sent < bytes_max, "{sent} bytes");
}

/// Guards against interim answers that go on after the call, and take a whole core.
#[tokio::test]
async fn interim_answers_without_end_end_the_call() {
    check_broken(b"", b"HTTP/1.1 100 Continue\r\n\r\n", HEAD_BYTES_MAX).await;
}

/// Guards against header lines without end.
#[tokio::test]
async fn header_lines_without_end_end_the_call() {
    check_broken(
        b"HTTP/1.1 200 OK\r\n",
        b"x-more: 0123456789\r\n",
        HEAD_BYTES_MAX,
    )
    .await;
}

/// Guards against connections that go on after their call was cancelled.
#[tokio::test]
async fn a_connection_without_an_answer_closes_with_its_call() {
    let (address, _, open) = start(b"", b"HTTP/1.1 100 Continue\r\n\r\n");
    let (mut pool, mut events) = pool();
    call(&mut pool, 1, address);
    tokio::time::sleep(Duration::from_millis(1)).await;
    pool.abort(&1);
    while let Ok(Some(event)) = timeout(Duration::from_millis(100), events.recv()).await {
        assert!(pool.handle(event).is_none());
    }
    wait_closed(&open).await;
}

/// Guards against answers that are each within the limit of a call, and together beyond that of
/// the host.
#[tokio::test]
async fn bodies_without_end_stay_within_the_limit_of_the_host() {
    let head = b"HTTP/1.1 200 OK\r\ncontent-length: 99999999\r\n\r\n";
    let (address, _, open) = start(head, &[b'x'; 16 * 1024]);
    let (sender, mut events) = mpsc::channel(64);
    let mut pool = Pool::new(sender, 8 * 1024 * 1024).with_buffered_max(16 * 1024 * 1024);
    for ticket in 0..20 {
        call(&mut pool, ticket, address);
    }
    for _ in 0..20 {
        let failure = next(&mut pool, &mut events).await;
        assert!(matches!(failure, Failure::TooLong), "{failure}");
        assert!(pool.buffered() <= 16 * 1024 * 1024);
    }
    wait_closed(&open).await;
}

/// Guards against a chunk length without end, of zeros or of blanks: it is no data, so that no bound
/// on data counts it, and reading it takes a whole core.
#[tokio::test]
async fn chunk_lengths_without_end_end_the_call() {
    const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const DATA: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n1";
    for (first, again) in [(HEAD, &[b'0'; 4_096]), (DATA, &[b' '; 4_096])] {
        check_broken(first, again, FRAMING_SENT_MAX).await;
    }
}

/// Guards against trailers and chunk extensions without end, which are neither head nor data.
#[tokio::test]
async fn trailers_and_extensions_without_end_end_the_call() {
    const TRAILERS: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n";
    const EXTENSION: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;";
    for (first, again) in [
        (TRAILERS, &b"x-more: 0123456789\r\n"[..]),
        (EXTENSION, &[b'e'; 4_096]),
    ] {
        check_broken(first, again, FRAMING_SENT_MAX).await;
    }
}

/// Guards against bytes without end behind a whole answer, on a connection that is kept.
#[tokio::test]
async fn bytes_without_end_behind_an_answer_close_the_connection() {
    const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
    for again in [&[b'0'; 4_096][..], b"HTTP/1.1 100 Continue\r\n\r\n"] {
        let (address, sent, open) = start(ANSWER, again);
        let (mut pool, mut events) = pool();
        call(&mut pool, 1, address);
        let result = loop {
            let event = timeout(END_MAX, events.recv()).await.unwrap().unwrap();
            if let Some((_, result)) = pool.handle(event) {
                break result;
            }
        };
        assert_eq!(result.unwrap().body.len(), 1);
        wait_closed(&open).await;
        let sent = sent.load(Ordering::Relaxed);
        assert!(sent < FRAMING_SENT_MAX, "{sent} bytes");
    }
}

/// Guards against an operator's command that keeps all bytes of a daemon's answer without end.
#[tokio::test]
async fn an_answer_to_an_operator_without_end_is_an_error() {
    const BODY: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (first, again) in [
        (BODY, &b"4\r\n0000\r\n"[..]),
        (BODY, &[b'0'; 4_096]),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    ] {
        let (address, sent, open) = start(first, again);
        let client = Client {
            address,
            key: String::new(),
        };
        assert!(
            timeout(OPERATOR_END_MAX, client.status())
                .await
                .unwrap()
                .is_err()
        );
        wait_closed(&open).await;
        let sent = sent.load(Ordering::Relaxed);
        assert!(sent < OPERATOR_SENT_MAX, "{sent} bytes");
    }
}

/// Guards against bounds that refuse proper answers: a body in chunks of one byte, longer than all
/// bounds on what is no data.
#[tokio::test]
async fn a_body_in_short_chunks_is_read() {
    const BODY_BYTES: usize = 200_000;
    let body = "1\r\nx\r\n".repeat(BODY_BYTES);
    let text = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{body}0\r\n\r\n");
    let (address, _, _) = start(text.leak().as_bytes(), b"");
    let (mut pool, mut events) = pool();
    call(&mut pool, 1, address);
    let event = timeout(END_MAX, events.recv()).await.unwrap().unwrap();
    let (_, result) = pool.handle(event).unwrap();
    assert_eq!(result.unwrap().body.len(), BODY_BYTES);
}

/// Guards against servers that keep the host from its other work: calls to another server are timed
/// while several answers without end come in.
#[tokio::test]
async fn calls_to_other_servers_are_answered_beside_answers_without_end() {
    const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const BAD_CALLS: u32 = 8;
    const CALL_MAX: Duration = Duration::from_millis(250);
    let (bad, _, _) = start(HEAD, &[b'0'; 65_536]);
    let (good, _, _) = start(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", b"");
    let (mut pool, mut events) = pool();
    let (mut started, mut slowest) = (HashMap::new(), Duration::ZERO);
    let mut answered = 0;
    let mut ticket = BAD_CALLS;
    (0..BAD_CALLS).for_each(|bad_ticket| call(&mut pool, bad_ticket, bad));
    while answered < 200 {
        ticket += 1;
        let is_bad = ticket.is_multiple_of(4);
        started.insert(ticket, (Instant::now(), is_bad));
        call(&mut pool, ticket, if is_bad { bad } else { good });
        let event = timeout(END_MAX, events.recv()).await.unwrap().unwrap();
        let Some((ended, _)) = pool.handle(event) else {
            continue;
        };
        if let Some((at, false)) = started.remove(&ended) {
            answered += 1;
            slowest = slowest.max(at.elapsed());
        }
    }
    println!("slowest of {answered}: {slowest:?}");
    assert!(slowest < CALL_MAX, "{slowest:?}");
}
