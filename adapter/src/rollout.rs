//! The operators' calls for rollouts: requests one, and reads its state.

use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::command::Command;
use wagtailbeam_decision::command::Outcome;
use wagtailbeam_decision::name::Name;
use wagtailbeam_decision::rollout::order;
use wagtailbeam_decision::rollout::steering::Decision;
use wagtailbeam_decision::tier::Change;
use wagtailbeam_decision::tier::State;
use wagtailbeam_decision::tier::Verdict;

use crate::http;
use crate::operator::Api;
use crate::operator::Refused;
use crate::operator::overtaken;
use crate::operator::read_body;
use crate::operator::refuse;
use crate::operator::unknown;

/// Largest request of a rollout, in bytes.
const REQUEST_MAX_BYTES: usize = 64 * 1024;

/// An operator's request of a rollout.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The service.
    pub service: Name,
    /// Version that its traffic moves to.
    pub target: Name,
    /// Time within which that is to be completed.
    pub duration: Span,
}

impl Api {
    /// Begins a rollout.
    pub(crate) async fn begin_rollout(&self, request: Request<Incoming>) -> http::Reply {
        match self.try_begin(request).await {
            Ok(reply) => reply,
            Err(refused) => *refused,
        }
    }

    async fn try_begin(&self, request: Request<Incoming>) -> Result<http::Reply, Refused> {
        let body = read_body(request, REQUEST_MAX_BYTES, StatusCode::BAD_REQUEST).await?;
        let order = self.dialect.rollout(&body).map_err(|cause| {
            let detail = format!("{cause}\n");
            refuse(StatusCode::BAD_REQUEST, &detail)
        })?;
        self.check_service(&order.service).await?;
        let change = Change::Rollout {
            service: order.service,
            target: order.target,
            duration: order.duration,
            request: rand::random::<u64>().max(1),
        };
        let reply = match self.decide(Command::Change(change)).await {
            Outcome::Done(Verdict::Conflict) => {
                let detail = "a rollout of the service is in progress\n";
                http::text(StatusCode::CONFLICT, detail)
            }
            Outcome::Done(_) => http::reply(StatusCode::OK, "application/json", "{}"),
            Outcome::Overtaken => overtaken(),
            Outcome::State(_) | Outcome::Unknown => unknown(),
        };
        Ok(reply)
    }

    /// Refuses a service that the newest configuration does not contain.
    async fn check_service(&self, service: &Name) -> Result<(), Refused> {
        let Outcome::State(state) = self.decide(Command::Read).await else {
            return Err(Box::new(unknown()));
        };
        match self.knows(&state, service) {
            true => Ok(()),
            false => Err(refuse(StatusCode::NOT_FOUND, "no such service\n")),
        }
    }

    fn knows(&self, state: &State, service: &Name) -> bool {
        let catalog = self.dialect.catalog(&state.document);
        catalog.is_ok_and(|catalog| catalog.services.contains_key(service))
    }

    /// Answers with the state of a service's last rollout.
    pub(crate) async fn read_rollout(&self, service: &str) -> http::Reply {
        match self.decide(Command::Read).await {
            Outcome::State(state) => match state.rollouts.get(service) {
                Some(record) => {
                    let body = self.dialect.rollout_state(record);
                    http::reply(StatusCode::OK, "application/json", body)
                }
                None => http::text(StatusCode::NOT_FOUND, "no rollout of this service\n"),
            },
            Outcome::Done(_) | Outcome::Overtaken | Outcome::Unknown => unknown(),
        }
    }
}

/// Logs a step of a rollout with what it was derived from.
pub(crate) fn log_step(decision: &Decision) {
    let (record, step, sums) = (&decision.record, &decision.step, &decision.sums);
    tracing::info!(
        event = 745,
        service = %decision.service,
        target_version = %record.target,
        phase = %step.phase,
        stage = %step.stage,
        share = step.share,
        step = record.serial + 1,
        elapsed_ms = step.elapsed.as_ms(),
        route = decision.evidence.route.as_deref(),
        failures = decision.evidence.failures,
        latency = decision.evidence.latency,
        latency_error = decision.evidence.latency_error,
        old_sent = sums.old.sent,
        old_failed = sums.old.failed,
        new_sent = sums.new.sent,
        new_ended = sums.new.ended,
        new_failed = sums.new.failed,
        hosts = decision.hosts,
        age_ms = decision.age.map(Span::as_ms),
        "rollout step proposed"
    );
}

/// Logs a changed order of a rollout at an entry host.
pub(crate) fn log_order(order: &order::Order) {
    tracing::info!(
        event = 746,
        service = %order.service,
        share = order.share,
        in_progress = order.in_progress,
        new = order.new.len(),
        barred = order.barred.len(),
        "rollout order changed"
    );
}
