//! The operators' calls for rollouts over HTTP, against a replicated state without voters.

#![expect(clippy::unwrap_used, reason = "a failed step must fail the test")]

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use tokio::net::TcpListener;
use tokio::sync::mpsc;
use wagtailbeam_adapter::operator;
use wagtailbeam_adapter::operator::Api;
use wagtailbeam_adapter::operator::Submission;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::command::Command;
use wagtailbeam_decision::command::Outcome;
use wagtailbeam_decision::name::Name;
use wagtailbeam_decision::rollout::Phase;
use wagtailbeam_decision::rollout::Stage;
use wagtailbeam_decision::rollout::Step;
use wagtailbeam_decision::tier::Change;
use wagtailbeam_decision::tier::State;
use wagtailbeam_fakes::caller;
use wagtailbeam_platform::Dialect;
use wagtailbeam_platform::ROLLOUTS_PATH;
use wagtailbeam_platform::encode;
use wagtailbeam_soak::deployment::Deployment;

/// Larger than any request of a rollout may be, in bytes.
const TOO_LARGE_BYTES: usize = 100_000;

/// What the commands are decided on.
#[derive(Default)]
struct Voter {
    state: State,
    /// Whether no majority answers.
    is_alone: bool,
}

impl Voter {
    fn decide(&mut self, command: Command) -> Outcome {
        match command {
            _ if self.is_alone => Outcome::Unknown,
            Command::Read => Outcome::State(Arc::new(self.state.clone())),
            Command::Change(change) => {
                let (next, verdict) = self.state.decide(&change);
                self.state = next.unwrap_or_else(|| self.state.clone());
                Outcome::Done(verdict)
            }
        }
    }

    fn configure(&mut self) {
        let configuration = Deployment::new(2, 1).configuration(1);
        let document = encode::configuration(&configuration).into_bytes();
        self.decide(Command::Change(Change::Configure {
            version: 1,
            document: document.into(),
        }));
    }

    /// Ends the rollout of the service `once`.
    fn end(&mut self, phase: Phase) {
        let record = &self.state.rollouts["once"];
        let change = Change::Step {
            service: Name::from("once"),
            id: record.id,
            serial: record.serial,
            step: Step {
                phase,
                stage: Stage::Closing,
                share: 1_000,
                elapsed: Span::from_secs(50),
            },
        };
        self.decide(Command::Change(change));
    }
}

/// The calls of a test with their answers.
struct Calls {
    address: SocketAddr,
    voter: Arc<Mutex<Voter>>,
    log: String,
}

impl Calls {
    async fn start() -> Calls {
        let voter = Arc::new(Mutex::new(Voter::default()));
        voter.lock().unwrap().configure();
        let (submissions, mut commands) = mpsc::channel::<Submission>(16);
        let api = Api {
            submissions,
            dialect: Arc::new(Dialect::default()),
            domains: Vec::new(),
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(operator::listen(listener, Arc::new(api)));
        let deciding = voter.clone();
        tokio::spawn(async move {
            while let Some(submission) = commands.recv().await {
                let outcome = deciding.lock().unwrap().decide(submission.command);
                submission.answer.send(outcome).unwrap();
            }
        });
        Calls {
            address,
            voter,
            log: String::new(),
        }
    }

    /// Makes a call and notes its answer.
    async fn call(&mut self, method: &str, path: &str, body: &str) {
        let request = caller::Request {
            method: method.to_owned(),
            path: path.to_owned(),
            body: body.to_owned().into(),
            ..caller::Request::default()
        };
        let answer = caller::send(self.address, &request).await.unwrap();
        let text = String::from_utf8_lossy(&answer.body);
        let shown = body.get(..80).unwrap_or(body);
        let status = answer.status;
        writeln!(
            self.log,
            "{method} {path} {shown}\n  {status} {}",
            text.trim()
        )
        .unwrap();
    }

    async fn begin(&mut self, service: &str, target: &str) {
        let body =
            format!(r#"{{"Service":"{service}","TargetVersion":"{target}","DurationS":60}}"#);
        self.call("POST", ROLLOUTS_PATH, &body).await;
    }

    async fn read(&mut self, service: &str) {
        let path = format!("{ROLLOUTS_PATH}/{service}");
        self.call("GET", &path, "").await;
    }

    fn end(&mut self, phase: Phase) {
        self.voter.lock().unwrap().end(phase);
        writeln!(self.log, "-- {phase}").unwrap();
    }

    fn revision(&self) -> u64 {
        self.voter.lock().unwrap().state.revision
    }
}

/// Guards against a repeated request that is taken for a new one, and against one that is confirmed
/// with another status than 409 while the rollout is in progress.
#[tokio::test]
async fn a_rollout_is_requested_repeated_and_read() {
    let mut calls = Calls::start().await;
    calls.read("once").await;
    calls.begin("once", "v2").await;
    calls.read("once").await;
    calls.begin("once", "v2").await;
    calls.begin("once", "v3").await;
    calls.begin("shard-0", "v2").await;
    calls.end(Phase::RolledBack);
    calls.read("once").await;
    let ended = calls.revision();
    calls.begin("once", "v2").await;
    calls.read("once").await;
    assert_eq!(
        calls.revision(),
        ended,
        "a repeated request changed a rollout"
    );
    calls.begin("once", "v3").await;
    calls.read("once").await;
    calls.end(Phase::Completed);
    calls.read("once").await;
    calls.begin("once", "v3").await;
    calls.read("shard-0").await;
    insta::assert_snapshot!(calls.log);
}

/// Guards against malformed requests that begin a rollout or that are answered as a fault of the
/// tier.
#[tokio::test]
async fn malformed_requests_are_refused_with_their_cause() {
    let mut calls = Calls::start().await;
    let before = calls.revision();
    let too_large = format!(r#"{{"Service":"{}"}}"#, "x".repeat(TOO_LARGE_BYTES));
    let bodies = [
        "",
        "rollout",
        r#"["once","v2",60]"#,
        r#"{"Service":"once","Service":"once","TargetVersion":"v2","DurationS":60}"#,
        "{}",
        r#"{"Service":"once","TargetVersion":"v2"}"#,
        r#"{"Service":"once","DurationS":60}"#,
        r#"{"TargetVersion":"v2","DurationS":60}"#,
        r#"{"Service":"once","TargetVersion":"v2","DurationS":"60"}"#,
        r#"{"Service":"once","TargetVersion":"v2","DurationS":0}"#,
        r#"{"Service":"once","TargetVersion":"v2","DurationS":-60}"#,
        r#"{"Service":"once","TargetVersion":"v2","DurationS":1e-9}"#,
        r#"{"Service":"once","TargetVersion":"v2","DurationS":1e300}"#,
        r#"{"Service":"once","TargetVersion":"v2","DurationS":60"#,
        r#"{"Service":"once","TargetVersion":2,"DurationS":60}"#,
        r#"{"Service":"once","TargetVersion":"","DurationS":60}"#,
        r#"{"Service":"once","TargetVersion":"v 2","DurationS":60}"#,
        r#"{"Service":"on/ce","TargetVersion":"v2","DurationS":60}"#,
        too_large.as_str(),
    ];
    for body in bodies {
        calls.call("POST", ROLLOUTS_PATH, body).await;
    }
    assert_eq!(calls.revision(), before, "a malformed request had effect");
    insta::assert_snapshot!(calls.log);
}

/// Guards against rollouts of services that don't exist, and against calls that are taken for
/// others.
#[tokio::test]
async fn unknown_services_and_calls_are_not_found() {
    let mut calls = Calls::start().await;
    calls.begin("wallet", "v2").await;
    calls.read("wallet").await;
    calls.read("").await;
    calls.read("once/more").await;
    for method in ["GET", "PUT", "DELETE"] {
        calls.call(method, ROLLOUTS_PATH, "").await;
    }
    for method in ["POST", "PUT", "DELETE"] {
        let path = format!("{ROLLOUTS_PATH}/once");
        calls.call(method, &path, "").await;
    }
    calls.voter.lock().unwrap().state = State::default();
    calls.log.push_str("-- no configuration\n");
    calls.begin("once", "v2").await;
    assert_eq!(calls.revision(), 0);
    insta::assert_snapshot!(calls.log);
}

/// Guards against answers from a voter that may not know the newest state.
#[tokio::test]
async fn without_a_majority_calls_are_answered_503() {
    let mut calls = Calls::start().await;
    calls.begin("once", "v2").await;
    calls.voter.lock().unwrap().is_alone = true;
    calls.log.push_str("-- no majority\n");
    calls.begin("once", "v2").await;
    calls.begin("wallet", "v2").await;
    calls.read("once").await;
    insta::assert_snapshot!(calls.log);
}
