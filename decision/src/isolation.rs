//! Recognizes requests that end the servers that run them, and keeps them away from further
//! ones.
//!
//! The suspected parts of a request run one at a time until a server answers one of them, and
//! quarantined ones are not sent. See `quarantine` for the records that all hosts share.

use crate::answer::Answer;
use crate::answer::Refusal;
use crate::clock::Span;
use crate::clock::Time;
use crate::flight::Flight;
use crate::flight::Part;
use crate::flight::Stage;
use crate::gateway::Action;
use crate::gateway::Gateway;
use crate::gateway::Outstanding;
use crate::gateway::RequestId;
use crate::quarantine::Record;
use crate::quarantine::Run;
use crate::suspect::Standing;

/// Whether a part may be sent now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Clearance {
    /// It may be sent.
    Granted,
    /// It waits for the end of another call of the same request.
    Pending,
    /// It is quarantined.
    Denied,
}

impl Gateway {
    /// Whether a part may be sent. A suspected one waits for other calls of the same request,
    /// until a server answers one of them.
    pub(crate) fn clearance(&self, now: Time, flight: &Flight, part: &Part) -> Clearance {
        let idle = |part: &Part| part.attempts.is_empty();
        match self.standing(now, flight, part) {
            None | Some(Standing::Cleared) => Clearance::Granted,
            Some(Standing::Quarantined) => Clearance::Denied,
            Some(Standing::Suspect) => match flight.done > 0 || flight.parts.iter().all(idle) {
                true => Clearance::Granted,
                false => Clearance::Pending,
            },
        }
    }

    /// Standing of a part of a request; absent if nothing is known of it.
    pub(crate) fn standing(&self, now: Time, flight: &Flight, part: &Part) -> Option<Standing> {
        self.ledger
            .standing(now, &flight.fingerprint, &part.service)
    }

    /// Time until a request may be sent that can't succeed now because parts of it are
    /// quarantined; absent if it can succeed.
    pub(crate) fn quarantine_left(&self, now: Time, flight: &Flight) -> Option<Span> {
        if self.ledger.is_empty() {
            return None;
        }
        let left = |part: &Part| {
            self.ledger
                .quarantine_left(now, &flight.fingerprint, &part.service)
        };
        let left = flight.parts.iter().filter_map(left).collect::<Vec<_>>();
        let possible = flight.parts.len() - left.len();
        left.into_iter()
            .min()
            .filter(|_| possible < flight.needed())
    }

    /// Refusal of a request that did not run because parts of it are quarantined; absent if
    /// it can succeed without them.
    pub(crate) fn quarantine_refusal(&self, now: Time, flight: &Flight) -> Option<Answer> {
        let left = self.quarantine_left(now, flight)?;
        Some(Answer::Refused(Refusal::Quarantined, Some(left)))
    }

    /// Records that a server ended under an open part that was sent at this time.
    pub(crate) fn record_crash(
        &mut self,
        now: Time,
        call: &Outstanding,
        sent: Time,
        actions: &mut Vec<Action>,
    ) {
        let Some(flight) = self.flights.get(&call.request) else {
            return;
        };
        let part = &flight.parts[call.part];
        if !part.is_open() {
            return;
        }
        let fingerprint = flight.fingerprint;
        let run = Run { sent, broke: now };
        let changed = self
            .ledger
            .record_crash(now, fingerprint, &part.service, run);
        let standings = changed.into_iter();
        actions.extend(
            standings.map(|(name, standing)| Action::Standing(fingerprint, name, standing)),
        );
    }

    /// Records that a server answered a part, with success or not, and goes on running. Sends
    /// the parts that waited for that.
    pub(crate) fn record_survival(
        &mut self,
        now: Time,
        call: &Outstanding,
        actions: &mut Vec<Action>,
    ) {
        let Some(flight) = self.flights.get(&call.request) else {
            return;
        };
        let (fingerprint, service) = (flight.fingerprint, &flight.parts[call.part].service);
        let cleared = self.ledger.record_answer(now, &fingerprint, service);
        if self.ledger.is_empty() {
            return;
        }
        let cleared = cleared.into_iter();
        actions.extend(cleared.map(|name| Action::Standing(fingerprint, name, Standing::Cleared)));
        self.send_waiting(now, call.request, actions);
    }

    /// Sends the waiting parts of a request that may be sent now.
    fn send_waiting(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let waiting = flight.parts.iter().enumerate();
        let waiting = waiting.filter(|(_, part)| matches!(part.stage, Stage::Waiting));
        for index in waiting.map(|(index, _)| index).collect::<Vec<_>>() {
            self.dispatch(now, id, index, actions);
        }
    }

    /// Adopts the newer ones of other hosts' records.
    pub(crate) fn merge_records(
        &mut self,
        now: Time,
        records: Vec<Record>,
        actions: &mut Vec<Action>,
    ) {
        let changed = self.ledger.merge(now, records).into_iter();
        actions.extend(changed.map(|(fingerprint, service, standing)| {
            Action::Standing(fingerprint, service, standing)
        }));
    }
}
