//! Seats that hold nothing, and so count as read when a voter repairs itself.
//!
//! A seat that was never assigned is vacant: no voter accepted anything in it. In a group of five with
//! two vacant seats each decision was accepted by all three voters, and each of them knows it. The
//! same holds for the first holder of a seat until it votes. Without that rule a group that loses a disk
//! before all its seats are assigned has no majority that could assign any.

use std::collections::BTreeSet;

use crate::register::Key;
use crate::register::Value;
use crate::tier::State;
use crate::voter::Cell;
use crate::voter::Id;
use crate::voter::Incarnation;
use crate::voter::Mode;
use crate::voter::Voter;

impl Voter {
    /// Seats of others that were never assigned, as far as the own state and the cells read for a repair
    /// tell; none where the settings list the voters.
    pub(crate) fn vacant_seats(&self) -> BTreeSet<Id> {
        if !self.seated {
            return BTreeSet::new();
        }
        let is_vacant = |id: &Id| {
            let known = self.incarnations.get(usize::from(*id)).into_iter();
            let mut known = known.chain(self.assignments(*id));
            known.all(Incarnation::is_vacant)
        };
        self.others().filter(is_vacant).collect()
    }

    /// What the own state and the cells read for a repair assign a seat to.
    fn assignments(&self, id: Id) -> impl Iterator<Item = &Incarnation> {
        let own = self.cells.get(&Key::Tier).map(|stored| &stored.cell);
        let read = self.repair.cells.get(&Key::Tier);
        let states = own.into_iter().chain(read).filter_map(assigning_state);
        states.filter_map(move |state| state.seats.get(usize::from(id)))
    }

    /// Whether a state that was read assigns a seat to a later incarnation than the known one, which was
    /// asked.
    pub(crate) fn is_superseded(&self, id: Id) -> bool {
        let known = self.incarnations[usize::from(id)].epoch;
        self.assignments(id).any(|seat| seat.epoch > known)
    }

    /// Whether this voter is the first holder of its seat and has not voted yet.
    pub(crate) fn is_first_holder(&self) -> bool {
        let first = self.repair.incarnation.epoch == Incarnation::FIRST_EPOCH;
        self.seated && self.mode == Mode::Repairing && first
    }
}

/// The state of the tier that a cell holds.
fn assigning_state(cell: &Cell) -> Option<&State> {
    match cell.accepted.as_ref()? {
        (_, Value::Tier(state)) => Some(state),
        _ => None,
    }
}
