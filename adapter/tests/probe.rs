//! What a broken connection to a server is taken for.

#![expect(clippy::unwrap_used, reason = "a failed step is a failed test")]

use std::cell::Cell;
use std::io::Error;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use wagtailbeam_adapter::pool::Event;
use wagtailbeam_adapter::pool::Failure;
use wagtailbeam_adapter::pool::Options;
use wagtailbeam_adapter::pool::Pool;
use wagtailbeam_adapter::probe;
use wagtailbeam_decision::uplink::Probe;
use wagtailbeam_decision::uplink::REACHABLE_TIME;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Accepts a connection and reads a request on it.
async fn accept(listener: &TcpListener) -> TcpStream {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut request = [0; 1_024];
    assert!(stream.read(&mut request).await.unwrap() > 0);
    stream
}

fn call(pool: &mut Pool<u32>, ticket: u32, address: SocketAddr) {
    let options = Options {
        address,
        connections_max: 4,
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

/// Result of the next call that ends.
async fn next(
    pool: &mut Pool<u32>,
    events: &mut mpsc::Receiver<Event<u32>>,
) -> Result<(), Failure> {
    loop {
        if let Some((_, result)) = pool.handle(events.recv().await.unwrap()) {
            return result.map(drop);
        }
    }
}

/// Calls a server that sends this part of an answer, breaks the connection and refuses new ones, beside
/// one that answered and, if `refuses`, refuses new connections too.
async fn break_call(sent: &[u8], refuses: bool) -> Failure {
    let (sender, mut events) = mpsc::channel(16);
    let mut pool = Pool::new(sender, 1_024).with_comparison();
    let other = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let broken = TcpListener::bind("127.0.0.1:0").await.unwrap();
    call(&mut pool, 1, other.local_addr().unwrap());
    let mut kept = accept(&other).await;
    kept.write_all(ANSWER).await.unwrap();
    next(&mut pool, &mut events).await.unwrap();
    call(&mut pool, 2, broken.local_addr().unwrap());
    let mut stream = accept(&broken).await;
    stream.write_all(sent).await.unwrap();
    let other = (!refuses).then_some(other);
    drop((stream, broken));
    let failure = next(&mut pool, &mut events).await.unwrap_err();
    drop((other, kept));
    failure
}

/// Guards against quarantines of harmless requests at all hosts because one host's links are cut:
/// its connections break and all its new ones are refused.
#[tokio::test]
async fn a_server_that_refuses_like_all_others_is_not_taken_for_ended() {
    let failure = break_call(b"", true).await;
    assert!(matches!(failure, Failure::Broken(_)), "{failure}");
}

/// The same where another server accepts connections: the process of this one ended.
#[tokio::test]
async fn a_server_that_refuses_while_another_accepts_is_taken_for_ended() {
    let failure = break_call(b"", false).await;
    assert!(matches!(failure, Failure::Ended(_)), "{failure}");
}

/// Guards against a request under which servers end again and again, because they end while they write
/// the head or the body of the answer.
#[tokio::test]
async fn a_server_that_ends_within_its_answer_is_taken_for_ended() {
    let chunked = &b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nok"[..];
    for sent in [&ANSWER[..12], &ANSWER[..ANSWER.len() - 1], chunked] {
        let failure = break_call(sent, false).await;
        assert!(matches!(failure, Failure::Ended(_)), "{failure}");
        let failure = break_call(sent, true).await;
        assert!(matches!(failure, Failure::Broken(_)), "{failure}");
    }
}

/// Guards against probes of servers that go on sending what is no answer, each of which costs a
/// connection and the time of the call.
#[tokio::test]
async fn a_server_that_sends_what_is_no_answer_is_not_taken_for_ended() {
    let malformed = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n";
    let failure = break_call(malformed, false).await;
    assert!(matches!(failure, Failure::Broken(_)), "{failure}");
}

/// Guards against servers that are taken for ended because they cut an answer short.
#[tokio::test]
async fn a_server_that_cuts_an_answer_short_and_goes_on_is_not_taken_for_ended() {
    let (sender, mut events) = mpsc::channel(16);
    let mut pool = Pool::new(sender, 1_024);
    let server = TcpListener::bind("127.0.0.1:0").await.unwrap();
    call(&mut pool, 1, server.local_addr().unwrap());
    let mut stream = accept(&server).await;
    stream.write_all(&ANSWER[..ANSWER.len() - 1]).await.unwrap();
    drop(stream);
    let failure = next(&mut pool, &mut events).await.unwrap_err();
    assert!(matches!(failure, Failure::Broken(_)), "{failure}");
}

/// Guards against a host that takes its links for sound because a device on the way accepts its
/// connections, to reset them a moment later.
#[tokio::test]
async fn a_server_whose_new_connections_are_reset_after_a_moment_is_not_reachable() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        drop(stream);
        std::future::pending::<()>().await;
    });
    let probe = Probe {
        server: address,
        open_for: REACHABLE_TIME,
    };
    assert!(!probe::accepts(probe).await);
}

/// Whether a port counts as closed whose connections end like these, one after the other; later ones
/// end like the last.
async fn closes(ends: &[Option<ErrorKind>]) -> bool {
    let last = ends.len() - 1;
    let tries = Cell::new(0);
    let connect = || {
        let end = ends[tries.get().min(last)];
        tries.set(tries.get() + 1);
        std::future::ready(match end {
            Some(kind) => Err(Error::from(kind)),
            None => Ok(tokio::io::duplex(1).0),
        })
    };
    probe::closes_within(Duration::from_millis(20), connect).await
}

/// Guards against a server that is taken for running because its port closed between two steps of a
/// connection, which is then reset and not refused.
#[tokio::test]
async fn a_port_that_resets_a_connection_while_it_closes_is_closed() {
    assert!(
        closes(&[
            Some(ErrorKind::ConnectionReset),
            Some(ErrorKind::ConnectionRefused)
        ])
        .await
    );
}

/// Guards against the same where the process that ends still accepts two connections and closes them.
#[tokio::test]
async fn a_port_that_closes_connections_and_then_refuses_them_is_closed() {
    assert!(closes(&[None, None, Some(ErrorKind::ConnectionRefused)]).await);
}

/// Guards against cut links that are taken for servers that ended.
#[tokio::test]
async fn a_port_that_resets_all_connections_is_not_closed() {
    assert!(!closes(&[Some(ErrorKind::ConnectionReset)]).await);
    assert!(!closes(&[None]).await);
    assert!(
        !closes(&[
            Some(ErrorKind::TimedOut),
            Some(ErrorKind::ConnectionRefused)
        ])
        .await
    );
}
