//! Commands of operators: reads of the state, and orders that change it.
//!
//! Part of the controller. A command is proposed to the group and answered once it is decided, or
//! after a time limit.

use std::sync::Arc;

use crate::clock::Span;
use crate::clock::Time;
use crate::controller::Action;
use crate::controller::Controller;
use crate::controller::Pending;
use crate::register::Change;
use crate::running::TRANSFERS_MAX;
use crate::running::transfer_time;
use crate::tier;
use crate::tier::State;
use crate::tier::Verdict;

/// Time after which an operator's read is answered as unknown.
const READ_TIMEOUT: Span = Span::from_ms(900);

/// Time after which an operator's change is answered as unknown, beyond that for its transfer.
const CHANGE_TIMEOUT: Span = Span::from_ms(2_500);

/// Command of an operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Read the newest configuration.
    Read,
    /// Change the replicated state.
    Change(tier::Change),
}

/// Answer to an operator's command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The newest state.
    State(Arc<State>),
    /// The change was decided, with this verdict.
    Done(Verdict),
    /// No majority decided in time; a change may or may not take effect.
    Unknown,
    /// A newer order on the same matter was carried out since this one may have been given.
    Overtaken,
}

/// Time without an event after which the process of a voter counts as suspended; it ticks several
/// times as often.
pub(crate) const SUSPENDED_MIN: Span = Span::from_ms(500);

/// Time for which operators wait for an answer before they give an order to another voter.
const ORDER_AGE_MAX: Span = Span::from_secs(1);

/// Time from the arrival of an order for which its operator surely waits, [`ORDER_AGE_MAX`] less the
/// longest way of an order.
const ORDER_YOUNG_MAX: Span = Span::from_ms(500);

impl Controller {
    /// Proposes an operator's command.
    pub(crate) fn handle_command(
        &mut self,
        now: Time,
        id: u64,
        command: Command,
        out: &mut Vec<Action>,
    ) {
        let known = self.known_to_operators(now);
        let pending = Pending::Command {
            id,
            command,
            started: now,
        };
        self.propose_command(now, pending, known, out);
    }

    /// Proposes a command whose operator may have known this revision.
    fn propose_command(&mut self, now: Time, pending: Pending, known: u64, out: &mut Vec<Action>) {
        let Pending::Command { command, .. } = &pending else {
            return;
        };
        let change = match command.clone() {
            Command::Read => Change::Read,
            Command::Change(change) => Change::Tier(tier::Proposal { change, known }),
        };
        self.propose(now, pending, change, out);
    }

    /// Answers an operator whose order was overtaken, or proposes it once more if it is so young
    /// that the operator still waits: the other order was then given at the same time or before.
    pub(crate) fn handle_overtaken(
        &mut self,
        now: Time,
        pending: Pending,
        revision: u64,
        out: &mut Vec<Action>,
    ) {
        let Pending::Command { id, started, .. } = pending else {
            return;
        };
        let is_young = now.since(started) < ORDER_YOUNG_MAX;
        if is_young && !self.suspension.has_resumed_within(now, ORDER_AGE_MAX) {
            return self.propose_command(now, pending, revision, out);
        }
        out.push(Action::Answer(id, Outcome::Overtaken));
    }

    /// Newest revision that the operator may have known whose order is read now. What a process
    /// finds in its sockets when it resumes was sent before.
    fn known_to_operators(&self, now: Time) -> u64 {
        if self.suspension.has_resumed_within(now, ORDER_AGE_MAX) {
            return self.revision_before_suspension;
        }
        self.chosen.as_ref().map_or(0, |state| state.revision)
    }

    /// Notices a suspension of the process. To be called before each event is handled.
    pub(crate) fn notice_suspension(&mut self, now: Time) {
        if self.suspension.step(now) {
            let revision = self.chosen.as_ref().map_or(0, |state| state.revision);
            self.revision_before_suspension = revision;
        }
    }

    /// Answers an operator that no majority decided in time.
    pub(crate) fn answer_unknown(&mut self, pending: Pending, out: &mut Vec<Action>) {
        if let Pending::Command { id, .. } = pending {
            out.push(Action::Answer(id, Outcome::Unknown));
        }
    }

    /// Answers operators' commands that timed out.
    pub(crate) fn expire_commands(&mut self, now: Time, out: &mut Vec<Action>) {
        let is_late = |pending: &Pending| match pending {
            Pending::Command {
                command, started, ..
            } => {
                let limit = match command {
                    Command::Read => READ_TIMEOUT,
                    Command::Change(change) => change_timeout(change),
                };
                now.since(*started) >= limit
            }
            Pending::Settle | Pending::SeatRequest(_) | Pending::Rollout(_) => false,
        };
        let due = self.pending.iter().filter(|(_, pending)| is_late(pending));
        for id in due.map(|(id, _)| *id).collect::<Vec<_>>() {
            if let Some(pending) = self.pending.remove(&id) {
                self.answer_unknown(pending, out);
            }
        }
    }
}

/// Time after which this change is answered as unknown. A long configuration takes its time on the way
/// to all voters.
fn change_timeout(change: &tier::Change) -> Span {
    let bytes = match change {
        tier::Change::Configure { document, .. } => document.len(),
        _ => 0,
    };
    CHANGE_TIMEOUT + transfer_time(bytes).saturating_mul(TRANSFERS_MAX)
}
