//! Answers whose status is none of the protocol's.

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

/// Time within which a call must end.
const END_MAX: Duration = Duration::from_secs(2);

/// A server that answers each connection's request with this status.
fn start(status: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let mut request = [0; 1_024];
            let answer = format!("HTTP/1.1 {status} Status\r\nContent-Length: 2\r\n\r\nhi");
            if stream.read(&mut request).is_ok_and(|count| count > 0) {
                drop(stream.write_all(answer.as_bytes()));
                drop(stream.read(&mut request));
            }
        }
    });
    address
}

/// What the caller of a server with this status gets: the status, or the failure.
async fn outcome(status: &'static str) -> String {
    let (sender, mut events) = mpsc::channel(64);
    let mut pool = Pool::new(sender, 1_024);
    let options = Options {
        address: start(status),
        connections_max: 1,
        avoid_stale: false,
        keep: true,
    };
    let request = Request::builder().uri("/x").header("host", "desk");
    let request = request.body(Full::new(Bytes::new())).unwrap();
    pool.call(1, options, request);
    loop {
        let event = timeout(END_MAX, events.recv()).await.unwrap().unwrap();
        match pool.handle(event) {
            Some((_, Ok(response))) => return response.status.as_u16().to_string(),
            Some((_, Err(failure))) => return failure.to_string(),
            None => {}
        }
    }
}

/// Guards against callers that get what is no answer: a server in trouble sends a status such as 000,
/// or one outside the classes of the protocol, or changes the protocol unasked.
#[tokio::test]
async fn a_status_outside_the_protocol_is_no_answer() {
    let mut outcomes = Vec::new();
    for status in [
        "000", "001", "099", "101", "199", "200", "418", "599", "600", "999", "2000", "20", "2x0",
    ] {
        outcomes.push(format!("{status}: {}", outcome(status).await));
    }
    assert_eq!(
        outcomes,
        [
            "000: broken: invalid HTTP status-code parsed",
            "001: broken: invalid HTTP status-code parsed",
            "099: broken: invalid HTTP status-code parsed",
            "101: broken: status 101 is no final answer",
            "199: broken: invalid HTTP version parsed",
            "200: 200",
            "418: 418",
            "599: 599",
            "600: broken: status 600 is no final answer",
            "999: broken: status 999 is no final answer",
            "2000: broken: invalid HTTP status-code parsed",
            "20: broken: invalid HTTP status-code parsed",
            "2x0: broken: invalid HTTP status-code parsed",
        ]
    );
}
