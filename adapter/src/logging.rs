//! Structured log of a tier with discovered hosts: JSON lines on standard output, one per
//! event. Lines about requests are rate-limited.
//!
//! docs/EVENTS.md lists the event numbers.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use tracing_appender::non_blocking::NonBlocking;
use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;
use tracing_subscriber::EnvFilter;
use wagtailbeam_decision::account::quota::Cause;
use wagtailbeam_decision::answer::Extra;
use wagtailbeam_decision::answer::Report;
use wagtailbeam_decision::branch::Reply;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::digest::Digest;
use wagtailbeam_decision::fleet::Instance;
use wagtailbeam_decision::load::watch::Crossing;
use wagtailbeam_decision::quota::Rate;
use wagtailbeam_decision::quota::Usage;
use wagtailbeam_decision::suspect::Standing;

/// Most lines buffered for a slow reader of standard output; further lines are dropped.
const BUFFERED_LINES_MAX: usize = 8_192;

/// Most lines per second about requests that were served in full.
const SERVED_LINES_PER_S: u32 = 30;

/// Most lines per second about requests that were not served in full, and about hedges,
/// retries, moved orders and failed replicas.
const FAILED_LINES_PER_S: u32 = 60;

/// A writer of log lines whose background thread passes them to `output` until the guard is dropped.
/// Lines that can't be written, for example because the disk is full, are dropped.
pub fn in_background<W: Write + Send + 'static>(output: W) -> (NonBlocking, WorkerGuard) {
    NonBlockingBuilder::default()
        .buffered_lines_limit(BUFFERED_LINES_MAX)
        .lossy(true)
        .finish(output)
}

/// Starts logging with a filter in the syntax of `tracing`. A background thread writes
/// the lines until the guard is dropped.
///
/// # Panics
///
/// A global subscriber is already set.
pub fn start(filter: &str) -> WorkerGuard {
    let (writer, guard) = in_background(std::io::stdout());
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

/// How a caller's request was answered; displayed in the log and in metric labels.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub enum Outcome {
    /// One replica's response was relayed.
    #[display("relayed")]
    Relayed,
    /// Merged from all parts.
    #[display("complete")]
    Complete,
    /// Merged from some of the parts.
    #[display("partial")]
    Partial,
    /// Refused: no route matches.
    #[display("no-route")]
    NoRoute,
    /// Refused: the request did not run and may be retried.
    #[display("not-run")]
    NotRun,
    /// Refused: the request may have run, and there is no answer.
    #[display("failed")]
    Failed,
    /// Refused: the deadline passed.
    #[display("timeout")]
    Timeout,
    /// Refused: servers ended under earlier requests of the same content.
    #[display("quarantined")]
    Quarantined,
    /// Refused: the route needs a key that no account holds.
    #[display("unknown-key")]
    UnknownKey,
    /// Refused: the quota of the account is used up.
    #[display("over-quota")]
    OverQuota,
}

impl Outcome {
    /// Whether a request that has a route was refused.
    pub fn is_failure(self) -> bool {
        matches!(self, Outcome::NotRun | Outcome::Failed | Outcome::Timeout)
    }
}

/// What identifies a request in the log.
#[derive(Clone, Copy, Debug)]
pub struct LogId<'a> {
    /// Identifier set by the caller, another one for each repeat.
    pub request: &'a str,
    /// Digest of the content, the same for each repeat; logged as its first bytes.
    pub fingerprint: Digest,
}

/// Logs lines about requests, with a limit per second for each kind.
pub struct Logger {
    window_start: Instant,
    served: u32,
    failed: u32,
    dropped: u32,
}

impl Default for Logger {
    fn default() -> Logger {
        Logger {
            window_start: Instant::now(),
            served: 0,
            failed: 0,
            dropped: 0,
        }
    }
}

impl Logger {
    /// Counts a line and returns whether it is within the limit of the current second.
    fn admit(&mut self, served: bool) -> bool {
        if self.window_start.elapsed() >= Duration::from_secs(1) {
            if self.dropped > 0 {
                tracing::warn!(event = 790, dropped = self.dropped, "log lines dropped");
            }
            *self = Logger::default();
        }
        let (count, limit) = match served {
            true => (&mut self.served, SERVED_LINES_PER_S),
            false => (&mut self.failed, FAILED_LINES_PER_S),
        };
        *count += 1;
        let allowed = *count <= limit;
        self.dropped += u32::from(!allowed);
        allowed
    }

    /// Logs the answer to a caller. Refused keys are logged together once a second instead.
    pub fn request_answered(&mut self, id: LogId<'_>, outcome: Outcome, report: &Report) {
        if outcome == Outcome::UnknownKey {
            return;
        }
        let served = matches!(outcome, Outcome::Relayed | Outcome::Complete);
        if !self.admit(served) {
            return;
        }
        tracing::info!(
            event = 700,
            request = id.request,
            fingerprint = ?id.fingerprint,
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

    /// Logs a hedge or a retry.
    pub fn extra_sent(&mut self, id: LogId<'_>, service: &str, replica: &str, why: Extra) {
        if self.admit(false) {
            tracing::info!(
                event = 701,
                request = id.request,
                fingerprint = ?id.fingerprint,
                service,
                replica,
                %why,
                "request sent again"
            );
        }
    }

    /// Logs a caller that disconnected before it was answered.
    pub fn caller_left(&mut self, id: LogId<'_>, waited: Duration) {
        if self.admit(false) {
            let waited_ms = waited.as_millis() as u64;
            tracing::info!(event = 702, request = id.request, waited_ms, "caller left");
        }
    }

    /// Logs an order that moved away from `host`, which did not confirm it.
    pub fn order_moved(&mut self, id: LogId<'_>, host: SocketAddr) {
        if self.admit(false) {
            tracing::info!(event = 704, request = id.request, %host, "order moved to another host");
        }
    }

    /// Logs a request that `host` served because this host's links are lost; without a host, none
    /// took it.
    pub fn request_relayed(
        &mut self,
        id: LogId<'_>,
        host: Option<SocketAddr>,
        served: bool,
        version: u64,
        took: Duration,
    ) {
        if !self.admit(served) {
            return;
        }
        tracing::info!(
            event = 719,
            request = id.request,
            fingerprint = ?id.fingerprint,
            host = host.map(|host| host.to_string()),
            served,
            version,
            took_ms = took.as_millis() as u64,
            "request relayed"
        );
    }

    /// Logs a relayed request of a host whose configuration has another version than the own one, and
    /// whether it is served here.
    pub fn versions_differ(
        &mut self,
        request: &str,
        from: SocketAddr,
        version: u64,
        own: u64,
        accepted: bool,
    ) {
        if self.admit(false) {
            tracing::info!(
                event = 728,
                request,
                %from,
                version,
                own,
                accepted,
                "relayed request under another configuration"
            );
        }
    }

    /// Logs a reply of a branch that lacks parts; `from` is the host that ordered the
    /// branch, `None` for this one.
    pub fn branch_incomplete(&mut self, id: LogId<'_>, from: Option<SocketAddr>, reply: &Reply) {
        if !self.admit(false) {
            return;
        }
        tracing::info!(
            event = 705,
            request = id.request,
            from = from.map(|from| from.to_string()),
            done = reply.stamps.len(),
            last = reply.last,
            extra = reply.extra,
            cause = reply.cause.map(|cause| cause.to_string()),
            missing = reply.missing.as_deref(),
            "branch lacks parts"
        );
    }

    /// Logs that a request's part for a service is suspected of ending servers, cleared of it
    /// or quarantined.
    pub fn standing_changed(&mut self, fingerprint: Digest, service: &str, standing: Standing) {
        if self.admit(false) {
            tracing::warn!(event = 707, ?fingerprint, service, %standing, "standing of a request changed");
        }
    }

    /// Logs that the limit which a replica names changed; absent if it names none any more.
    pub fn limit_changed(&mut self, service: &str, replica: &str, limit: Option<Rate>) {
        if self.admit(false) {
            let limit = limit.map(|limit| limit.to_string());
            tracing::info!(
                event = 708,
                service,
                replica,
                limit,
                "limit of a replica changed"
            );
        }
    }

    /// Logs the calls of this host, in the last second or so, to a replica that names a limit.
    pub fn limit_used(&mut self, usage: &Usage) {
        if self.admit(false) {
            let Usage {
                service,
                replica,
                limit,
                calls,
            } = usage;
            let (service, replica) = (&**service, &**replica);
            tracing::info!(event = 709, service, replica, %limit, calls, "calls to a limited replica");
        }
    }

    /// Logs that a replica became slow, or normal again, by the measurements of all hosts.
    pub fn capacity_changed(&mut self, crossing: &Crossing) {
        if self.admit(false) {
            let Instance { id, born } = &crossing.instance;
            tracing::info!(
                event = 726,
                replica = %id,
                born,
                slow = crossing.slow,
                slowdown = crossing.slowdown,
                answers = crossing.answers,
                "learned slowdown of a replica changed"
            );
        }
    }

    /// Logs a request that was not admitted within the quota of its account, why and for how long.
    pub fn quota_refused(&mut self, account: &str, cause: Cause, wait: Span) {
        if self.admit(false) {
            let wait_ms = wait.as_ms();
            let home = match cause {
                Cause::Empty(home) => Some(home.to_string()),
                Cause::Silent | Cause::Crowded => None,
            };
            tracing::info!(event = 750, account, %cause, home, wait_ms, "request refused for quota");
        }
    }

    /// Logs a home of accounts that did not answer a request for tokens.
    pub fn home_silent(&mut self, home: SocketAddr) {
        if self.admit(false) {
            tracing::warn!(event = 751, %home, "home did not answer");
        }
    }

    /// Logs an order or relayed request of an older build whose key was not accepted.
    pub fn order_refused(&mut self, from: SocketAddr) {
        if self.admit(false) {
            tracing::warn!(event = 725, %from, "order of an older build whose key was not accepted");
        }
    }

    /// Logs that a replica said in an answer that it is leaving.
    pub fn replica_leaves(&mut self, service: &str, replica: &str) {
        if self.admit(true) {
            tracing::info!(event = 722, service, replica, "replica is leaving");
        }
    }

    /// Logs that a replica wants no requests from this host for a time.
    pub fn replica_pauses(&mut self, service: &str, replica: &str, pause: Span) {
        if self.admit(true) {
            let pause_ms = pause.as_ms();
            tracing::info!(
                event = 723,
                service,
                replica,
                pause_ms,
                "replica wants no requests"
            );
        }
    }

    /// Logs a call that got no usable response from a replica.
    pub fn replica_failed(&mut self, id: LogId<'_>, address: &str, cause: &str) {
        if self.admit(false) {
            tracing::info!(
                event = 703,
                request = id.request,
                fingerprint = ?id.fingerprint,
                address,
                cause,
                "replica did not answer"
            );
        }
    }
}
