//! Log lines of a tier with discovered hosts: one for each decision, as JSON on
//! standard output, within a number of lines a second.
//!
//! docs/EVENTS.md is the catalogue of their numbers.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;
use tracing_subscriber::EnvFilter;
use wagtailbeam_decision::branch::Reply;
use wagtailbeam_decision::control::Note;
use wagtailbeam_decision::gateway::Extra;
use wagtailbeam_decision::gateway::Report;

/// Lines that wait for a slow reader at most; more are dropped.
const LINES_MAX: usize = 8_192;

/// Lines a second about requests that were served.
const SERVED_PER_S: u32 = 30;

/// Lines a second about requests that were not served in full, and about hedges
/// and retries.
const FAILED_PER_S: u32 = 60;

/// Starts logging; lines are written in the background until the guard is dropped.
pub fn start(filter: &str) -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(LINES_MAX)
        .lossy(true)
        .finish(std::io::stdout());
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_target(false)
        .with_env_filter(EnvFilter::try_new(filter).unwrap_or_default())
        .with_writer(writer)
        .init();
    guard
}

/// What a caller was answered, in a word.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub enum Outcome {
    /// A replica's answer.
    #[display("relayed")]
    Relayed,
    /// All parts.
    #[display("complete")]
    Complete,
    /// Some parts.
    #[display("partial")]
    Partial,
    /// No route.
    #[display("no-route")]
    NoRoute,
    /// It did not run.
    #[display("not-run")]
    NotRun,
    /// It failed.
    #[display("failed")]
    Failed,
    /// It was too late.
    #[display("timeout")]
    Timeout,
}

impl Outcome {
    /// Whether the caller was not served.
    pub fn is_failure(self) -> bool {
        matches!(self, Outcome::NotRun | Outcome::Failed | Outcome::Timeout)
    }
}

/// Bounds the lines about requests.
pub struct Trail {
    second: Instant,
    served: u32,
    failed: u32,
    dropped: u32,
}

impl Default for Trail {
    fn default() -> Trail {
        Trail {
            second: Instant::now(),
            served: 0,
            failed: 0,
            dropped: 0,
        }
    }
}

impl Trail {
    fn allows(&mut self, served: bool) -> bool {
        if self.second.elapsed() >= Duration::from_secs(1) {
            if self.dropped > 0 {
                tracing::warn!(event = 790, dropped = self.dropped, "log lines dropped");
            }
            *self = Trail::default();
        }
        let (count, limit) = match served {
            true => (&mut self.served, SERVED_PER_S),
            false => (&mut self.failed, FAILED_PER_S),
        };
        *count += 1;
        let allowed = *count <= limit;
        self.dropped += u32::from(!allowed);
        allowed
    }

    /// A caller was answered.
    pub fn answered(&mut self, request: &str, outcome: Outcome, report: &Report) {
        let served = matches!(outcome, Outcome::Relayed | Outcome::Complete);
        if !self.allows(served) {
            return;
        }
        tracing::info!(
            event = 700,
            request,
            %outcome,
            route = report.route.as_deref(),
            version = report.version,
            list_age_ms = report.fleet_age.as_ms(),
            took_ms = report.took.as_ms(),
            parts = report.parts,
            done = report.done,
            extra = report.extra,
            cause = report.cause.map(|cause| cause.to_string()),
            missing = report.missing.as_deref(),
            "request answered"
        );
    }

    /// A part was sent to one more replica.
    pub fn extra(&mut self, request: &str, service: &str, replica: &str, why: Extra) {
        if self.allows(false) {
            tracing::info!(event = 701, request, service, replica, %why, "request sent again");
        }
    }

    /// A caller left before it was answered.
    pub fn abandoned(&mut self, request: &str, waited: Duration) {
        if self.allows(false) {
            let waited_ms = waited.as_millis() as u64;
            tracing::info!(event = 702, request, waited_ms, "caller left");
        }
    }

    /// An order went to another host, since one did not confirm it.
    pub fn moved(&mut self, request: &str, host: SocketAddr) {
        if self.allows(false) {
            tracing::info!(event = 704, request, %host, "order moved to another host");
        }
    }

    /// A branch is told of which parts are missing.
    pub fn gathered(&mut self, request: &str, from: Option<SocketAddr>, piece: &Reply) {
        if !self.allows(false) {
            return;
        }
        tracing::info!(
            event = 705,
            request,
            from = from.map(|from| from.to_string()),
            done = piece.stamps.len(),
            last = piece.last,
            extra = piece.extra,
            cause = piece.cause.map(|cause| cause.to_string()),
            missing = piece.missing.as_deref(),
            "branch lacks parts"
        );
    }

    /// A replica did not answer.
    pub fn unanswered(&mut self, request: &str, address: &str, cause: &str) {
        if self.allows(false) {
            tracing::info!(
                event = 703,
                request,
                address,
                cause,
                "replica did not answer"
            );
        }
    }
}

/// Logs a decision of a voter.
pub fn note(note: &Note) {
    match note {
        Note::Mode(mode) => tracing::info!(event = 730, mode, "voter mode changed"),
        Note::Quorum(true) => tracing::info!(event = 731, "majority regained"),
        Note::Quorum(false) => tracing::warn!(event = 732, "majority lost"),
        Note::Chosen {
            revision,
            version,
            closed,
        } => tracing::info!(event = 733, revision, version, closed, "state chosen"),
        Note::Fleet { replicas, age } => {
            let age_ms = age.as_ms();
            tracing::info!(event = 734, replicas, age_ms, "list changed");
        }
        Note::ListFailed => tracing::warn!(event = 735, "list not read"),
        Note::Seated(id) => tracing::info!(event = 736, voter = id, "voter's place given"),
        Note::Entries(hosts) => tracing::info!(event = 737, hosts, "entry hosts changed"),
    }
}
