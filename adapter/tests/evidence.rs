//! What calls to servers of a group with a settings file believe, by the identifier in the answer.

#![expect(clippy::unwrap_used, reason = "a failed step is a failed test")]

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::timeout;
use wagtailbeam_adapter::backend::Backend;
use wagtailbeam_adapter::backend::Report;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::exchange::Call;
use wagtailbeam_decision::exchange::Exchange;
use wagtailbeam_decision::message::Event;
use wagtailbeam_decision::request::Request;

/// Time within which a call must end.
const END_MAX: Duration = Duration::from_secs(2);

/// The identifier in the head of the next request; none at the end of the connection.
fn read_identifier(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut identifier = String::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        match line.trim().split_once(": ") {
            Some(("wagtailbeam-request", value)) => identifier = value.to_owned(),
            None if line == "\r\n" => return Some(identifier),
            _ => {}
        }
    }
}

/// A server that answers the first requests of a connection with a success that names them, this many,
/// and the next one with this head; `ID` stands for the identifier in it.
fn start(named: usize, head: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let mut writer = stream.try_clone().unwrap();
            let mut reader = BufReader::new(stream);
            let mut count = 0;
            while let Some(identifier) = read_identifier(&mut reader) {
                let head = match count < named {
                    true => "200 OK\r\nwagtailbeam-request: ID",
                    false => head,
                };
                count += 1;
                let head = head.replace("ID", &identifier);
                let answer = format!("HTTP/1.1 {head}\r\ncontent-length: 2\r\n\r\n{{}}");
                if writer.write_all(answer.as_bytes()).is_err() {
                    break;
                }
            }
        }
    });
    address
}

async fn call(
    backend: &mut Backend,
    reports: &mut mpsc::Receiver<Report>,
    ticket: u64,
    address: SocketAddr,
    method: &str,
) -> Exchange {
    let request = Request {
        id: "r".into(),
        method: method.to_owned(),
        path: "/x".to_owned(),
        ..Request::default()
    };
    let call = Call {
        ticket,
        replica: address,
        request: Arc::new(request),
        pin: None,
        time_left: Span::from_ms(1_000),
    };
    backend.call(&call, 1);
    loop {
        let report = timeout(END_MAX, reports.recv()).await.unwrap().unwrap();
        if let Some(Event::Exchange(_, exchange)) = backend.handle(report) {
            return exchange;
        }
    }
}

/// What the call after this many named answers on the connection makes of an answer with this head.
async fn outcome(method: &str, named: usize, head: &'static str) -> String {
    let address = start(named, head);
    let (sender, mut reports) = mpsc::channel(64);
    let mut backend = Backend::new(sender, 1_024);
    for ticket in 0..named as u64 {
        call(&mut backend, &mut reports, ticket, address, method).await;
    }
    let last = call(&mut backend, &mut reports, named as u64, address, method).await;
    match last {
        Exchange::Answered { shed: true, .. } => "shed, not run".to_owned(),
        Exchange::Answered { answer, .. } => format!("answer {}", answer.status),
        other => format!("{other:?}"),
    }
}

/// Guards against a job that runs twice, or gets an answer that isn't its own: bytes that name no
/// request arrive where its answer is due. Servers may also name no request at all.
#[tokio::test]
async fn a_job_is_not_run_only_if_the_answer_names_it() {
    let heads = [
        "503 Full\r\nwagtailbeam-shed: 1\r\nwagtailbeam-request: ID",
        "503 Full\r\nwagtailbeam-shed: 1\r\nwagtailbeam-request: another",
        "503 Full\r\nwagtailbeam-shed: 1",
        "200 OK",
    ];
    let mut lines = Vec::new();
    for method in ["POST", "GET"] {
        for named in [0, 1] {
            for head in heads {
                let outcome = outcome(method, named, head).await;
                let head = head.replace("\r\n", ", ");
                lines.push(format!("{method} after {named}: {head}: {outcome}"));
            }
        }
    }
    let expected = "\
POST after 0: 503 Full, wagtailbeam-shed: 1, wagtailbeam-request: ID: shed, not run
POST after 0: 503 Full, wagtailbeam-shed: 1, wagtailbeam-request: another: BadAnswer
POST after 0: 503 Full, wagtailbeam-shed: 1: answer 503
POST after 0: 200 OK: answer 200
POST after 1: 503 Full, wagtailbeam-shed: 1, wagtailbeam-request: ID: shed, not run
POST after 1: 503 Full, wagtailbeam-shed: 1, wagtailbeam-request: another: BadAnswer
POST after 1: 503 Full, wagtailbeam-shed: 1: BadAnswer
POST after 1: 200 OK: BadAnswer
GET after 0: 503 Full, wagtailbeam-shed: 1, wagtailbeam-request: ID: shed, not run
GET after 0: 503 Full, wagtailbeam-shed: 1, wagtailbeam-request: another: BadAnswer
GET after 0: 503 Full, wagtailbeam-shed: 1: shed, not run
GET after 0: 200 OK: answer 200
GET after 1: 503 Full, wagtailbeam-shed: 1, wagtailbeam-request: ID: shed, not run
GET after 1: 503 Full, wagtailbeam-shed: 1, wagtailbeam-request: another: BadAnswer
GET after 1: 503 Full, wagtailbeam-shed: 1: shed, not run
GET after 1: 200 OK: BadAnswer";
    assert_eq!(lines.join("\n"), expected);
}
