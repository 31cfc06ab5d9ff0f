//! Records of a voter: the first ones of a new group or seat, and its state from and to records.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::clock::Time;
use crate::proposer::Proposer;
use crate::repair::Repair;
use crate::repair::Timing;
use crate::voter::Id;
use crate::voter::Incarnation;
use crate::voter::Mode;
use crate::voter::Record;
use crate::voter::Seat;
use crate::voter::Stored;
use crate::voter::Voter;

impl Voter {
    /// Returns the first records of voter `id` in a new group. Must not be used for a replaced
    /// disk in an existing group: that voter must repair itself from an empty disk.
    pub fn format(id: Id, nonce: u64) -> Vec<Record> {
        let incarnation = Incarnation {
            epoch: 1,
            nonce,
            address: None,
        };
        vec![Record::Incarnation(id, incarnation)]
    }

    /// Returns the first records of voter `own` in a new group of `group_size` whose first
    /// voters have the given addresses, in order of their ids.
    pub fn bootstrap(own: Id, group_size: u8, nonce: u64, addresses: &[SocketAddr]) -> Vec<Record> {
        let first = addresses.iter().zip(0..).map(|(address, id)| {
            let (epoch, nonce) = if id == own { (1, nonce) } else { (0, 0) };
            let address = Some(*address);
            let incarnation = Incarnation {
                epoch,
                nonce,
                address,
            };
            Record::Incarnation(id, incarnation)
        });
        std::iter::once(Record::Seat(own, group_size))
            .chain(first)
            .collect()
    }

    /// Returns the first records of a voter for an assigned seat. Its own incarnation is discarded at
    /// once, since it may not vote yet; a voter that restarts before it votes finds it there, see
    /// [`Voter::unused_seat`].
    pub fn records_of_seat(seat: &Seat, written: u64) -> Vec<Record> {
        let own_seat = Record::Seat(seat.id, seat.incarnations.len() as u8);
        let own = Record::Incarnation(seat.id, seat.incarnation);
        let others = seat.incarnations.iter().zip(0..);
        let others = others.filter(|(_, id)| *id != seat.id);
        let others = others.map(|(incarnation, id)| Record::Incarnation(id, *incarnation));
        let first = [own_seat, own, Record::Reset].into_iter();
        first
            .chain(others)
            .chain([Record::RecordCount(written)])
            .collect()
    }

    /// Creates a voter without state for an assigned seat; it repairs itself from the others
    /// under the seat's incarnation. Its records are numbered from `written` on.
    pub fn for_seat(now: Time, seat: &Seat, written: u64) -> Voter {
        let nonce = seat.incarnation.nonce;
        let mut voter = Voter::open(now, seat.id, seat.incarnations.len(), nonce, Vec::new());
        voter.incarnations.clone_from(&seat.incarnations);
        voter.incarnations[usize::from(seat.id)] = Incarnation::default();
        voter.repair.incarnation = seat.incarnation;
        voter.seated = true;
        voter.written = written;
        voter.synced = written;
        voter
    }

    /// Restores a voter from its stored records; without any it repairs itself from the
    /// others. `nonce` is a random number that differs between starts: of the incarnation that a
    /// repair begins, and of the ballots.
    pub fn open(now: Time, id: Id, group_size: usize, nonce: u64, records: Vec<Record>) -> Voter {
        let mut voter = Voter {
            id,
            group_size,
            nonce,
            mode: Mode::Checking,
            mode_before_failure: Mode::Checking,
            incarnations: vec![Incarnation::default(); group_size],
            peer_synced: vec![0; group_size],
            cells: BTreeMap::new(),
            written: 0,
            synced: 0,
            awaiting_sync: BTreeMap::new(),
            repair: Repair {
                started: now,
                ..Repair::default()
            },
            proposer: Proposer::new(id, group_size, nonce),
            last_expiry: now,
            seated: false,
            with_hints: BTreeSet::new(),
        };
        records
            .into_iter()
            .for_each(|record| voter.load(now, record));
        voter.synced = voter.written;
        if voter.incarnations[usize::from(id)].epoch == 0 {
            voter.mode = Mode::Repairing;
        }
        if !voter.is_first_holder() {
            voter.repair.incarnation = Incarnation::default();
        }
        voter
    }

    /// Sets the timeouts of the startup check and the repair.
    pub fn with_timing(mut self, timing: Timing) -> Voter {
        self.repair.timing = timing;
        self
    }

    /// Applies a stored record.
    fn load(&mut self, now: Time, record: Record) {
        self.written += 1;
        match record {
            Record::Reset => {
                let own = std::mem::take(&mut self.incarnations[usize::from(self.id)]);
                if own.epoch > 0 {
                    let is_unused = self.cells.is_empty();
                    let unused = Some(own).filter(|_| is_unused);
                    self.repair.incarnation = unused.unwrap_or_default();
                }
                self.cells.clear();
            }
            Record::Incarnation(id, incarnation) => {
                if let Some(known) = self.incarnations.get_mut(usize::from(id)) {
                    *known = incarnation;
                }
            }
            Record::Cell(key, cell) => {
                self.cells.insert(
                    key,
                    Stored {
                        cell,
                        changed_at: now,
                    },
                );
            }
            Record::Forget(key) => {
                self.cells.remove(&key);
            }
            Record::RecordCount(count) => self.written = count,
            Record::Seat(..) => self.seated = true,
        }
    }

    /// Returns records that restore the whole state, for a snapshot.
    pub fn snapshot(&self) -> Vec<Record> {
        let mut records = Vec::with_capacity(self.cells.len() + self.group_size + 2);
        if self.seated {
            records.push(Record::Seat(self.id, self.group_size as u8));
        }
        if let Some(unused) = self.unused_incarnation() {
            records.push(Record::Incarnation(self.id, unused));
            records.push(Record::Reset);
        }
        let known = self
            .incarnations
            .iter()
            .enumerate()
            .filter(|(_, known)| known.epoch > 0 || known.address.is_some());
        records.extend(known.map(|(id, known)| Record::Incarnation(id as Id, *known)));
        let cells = self
            .cells
            .iter()
            .map(|(key, stored)| Record::Cell(*key, stored.cell.clone()));
        records.extend(cells);
        records.push(Record::RecordCount(self.written));
        records
    }
}
