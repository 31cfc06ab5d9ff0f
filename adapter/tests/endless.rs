//! Servers whose answers never end, in a thread of their own.

#![expect(clippy::unwrap_used, reason = "a failed step is a failed test")]

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::sync::mpsc;
use tokio::time::timeout;
use wagtailbeam_adapter::pool::Event;
use wagtailbeam_adapter::pool::Failure;
use wagtailbeam_adapter::pool::Options;
use wagtailbeam_adapter::pool::Pool;

/// Time within which a call to such a server must end, or its connection after the call.
const END_MAX: Duration = Duration::from_secs(2);

/// Most bytes that may be taken of an answer without a final head.
const HEAD_BYTES_MAX: usize = 4 * 1024 * 1024;

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

/// Guards against interim answers that go on after the call, and take a whole core.
#[tokio::test]
async fn interim_answers_without_end_end_the_call() {
    let (address, sent, open) = start(b"", b"HTTP/1.1 100 Continue\r\n\r\n");
    let (mut pool, mut events) = pool();
    call(&mut pool, 1, address);
    let failure = next(&mut pool, &mut events).await;
    assert!(matches!(failure, Failure::Broken(_)), "{failure}");
    wait_closed(&open).await;
    let sent = sent.load(Ordering::Relaxed);
    assert!(sent < HEAD_BYTES_MAX, "{sent} bytes");
}

/// Guards against header lines without end.
#[tokio::test]
async fn header_lines_without_end_end_the_call() {
    let (address, sent, open) = start(b"HTTP/1.1 200 OK\r\n", b"x-more: 0123456789\r\n");
    let (mut pool, mut events) = pool();
    call(&mut pool, 1, address);
    let failure = next(&mut pool, &mut events).await;
    assert!(matches!(failure, Failure::Broken(_)), "{failure}");
    wait_closed(&open).await;
    let sent = sent.load(Ordering::Relaxed);
    assert!(sent < HEAD_BYTES_MAX, "{sent} bytes");
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
