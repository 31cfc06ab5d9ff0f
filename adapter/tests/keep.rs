//! Connections that are closed after one call.

#![expect(clippy::unwrap_used, reason = "a failed step is a failed test")]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::timeout;
use wagtailbeam_adapter::pool::Options;
use wagtailbeam_adapter::pool::Pool;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Time within which a connection that is not kept must be closed.
const CLOSE_MAX: Duration = Duration::from_millis(200);

fn call(pool: &mut Pool<u32>, address: SocketAddr, keep: bool) {
    let options = Options {
        address,
        connections_max: 4,
        avoid_stale: false,
        keep,
    };
    let request = Request::builder().uri("/x").header("host", "desk");
    let request = request.body(Full::new(Bytes::new())).unwrap();
    pool.call(1, options, request);
}

/// Whether the connection of a call is closed by the pool after its answer.
async fn closes(keep: bool) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (sender, mut events) = mpsc::channel(64);
    let mut pool = Pool::<u32>::new(sender, 1_024);
    call(&mut pool, listener.local_addr().unwrap(), keep);
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut request = [0; 1_024];
    assert!(stream.read(&mut request).await.unwrap() > 0);
    stream.write_all(ANSWER).await.unwrap();
    let (_, result) = pool.handle(events.recv().await.unwrap()).unwrap();
    assert_eq!(&*result.unwrap().body, b"ok");
    let closed = timeout(CLOSE_MAX, stream.read(&mut request)).await;
    matches!(closed, Ok(Ok(0)))
}

/// Guards against connections that stay open at replicas which have none to spare.
#[tokio::test]
async fn a_connection_that_is_not_to_be_kept_is_closed_after_its_answer() {
    assert!(closes(false).await);
    assert!(!closes(true).await);
}
