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
use crate::tier;
use crate::tier::State;
use crate::tier::Verdict;

/// Time after which an operator's read is answered as unknown.
const READ_TIMEOUT: Span = Span::from_ms(900);

/// Time after which an operator's change is answered as unknown.
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
}

impl Controller {
    /// Proposes an operator's command.
    pub(crate) fn handle_command(
        &mut self,
        now: Time,
        id: u64,
        command: Command,
        out: &mut Vec<Action>,
    ) {
        let change = match &command {
            Command::Read => Change::Read,
            Command::Change(change) => Change::Tier(change.clone()),
        };
        let pending = Pending::Command {
            id,
            command,
            started: now,
        };
        self.propose(now, pending, change, out);
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
                    Command::Change(_) => CHANGE_TIMEOUT,
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
