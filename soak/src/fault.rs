//! Faults: what goes wrong, and for how long, drawn from the seed.

use std::time::Duration;

use derive_more::Display;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::checker::DRAIN_MAX;
use crate::deployment::ENTRY_HOSTS;
use crate::deployment::VOTERS;
use crate::list;
use crate::proxy;
use crate::replica;

/// A fault. Voters, entry hosts and replicas are numbered.
#[derive(Clone, Copy, Debug, Display)]
pub enum Fault {
    /// A voter is killed.
    #[display("voter-{_0} killed")]
    KillVoter(usize),
    /// A voter is killed in the middle of a write.
    #[display("voter-{_0} killed, the end of its log torn")]
    TearVoterLog(usize),
    /// A voter is killed and its disk lost.
    #[display("voter-{_0} killed, its disk lost")]
    WipeVoterDisk(usize),
    /// A voter freezes.
    #[display("voter-{_0} paused")]
    PauseVoter(usize),
    /// All voters are killed at once.
    #[display("all voters killed")]
    KillAllVoters,
    /// An entry host is killed.
    #[display("entry-{_0} killed")]
    KillEntry(usize),
    /// An entry host freezes.
    #[display("entry-{_0} paused")]
    PauseEntry(usize),
    /// An entry host is stopped as planned.
    #[display("entry-{_0} stopped")]
    StopEntry(usize),
    /// An entry host reads its settings again.
    #[display("entry-{_0} reloads")]
    ReloadEntry(usize),
    /// A replica misbehaves.
    #[display("replica {_0} {_1:?}")]
    Replica(usize, replica::Mode),
    /// The way to a replica misbehaves.
    #[display("link {_0} {_1:?}")]
    Link(usize, proxy::Mode),
    /// A replica is listed as draining.
    #[display("replica {_0} drains")]
    DrainReplica(usize),
    /// The list misbehaves.
    #[display("list {_0:?}")]
    List(list::Mode),
}

impl Fault {
    /// What it befalls.
    pub fn target(&self) -> Target {
        match self {
            Fault::KillVoter(index)
            | Fault::TearVoterLog(index)
            | Fault::WipeVoterDisk(index)
            | Fault::PauseVoter(index) => Target::Voter(*index),
            Fault::KillAllVoters => Target::AllVoters,
            Fault::KillEntry(index)
            | Fault::PauseEntry(index)
            | Fault::StopEntry(index)
            | Fault::ReloadEntry(index) => Target::Entry(*index),
            Fault::Replica(index, _) => Target::Replica(*index),
            Fault::Link(index, _) => Target::Link(*index),
            Fault::DrainReplica(index) => Target::Listing(*index),
            Fault::List(_) => Target::List,
        }
    }

    /// Whether news of the list may be late while it lasts, whatever else does.
    pub fn delays_updates(&self) -> bool {
        match self {
            Fault::KillAllVoters | Fault::PauseEntry(_) | Fault::List(_) => true,
            Fault::KillVoter(_)
            | Fault::TearVoterLog(_)
            | Fault::WipeVoterDisk(_)
            | Fault::PauseVoter(_)
            | Fault::KillEntry(_)
            | Fault::StopEntry(_)
            | Fault::ReloadEntry(_)
            | Fault::Replica(..)
            | Fault::Link(..)
            | Fault::DrainReplica(_) => false,
        }
    }

    /// Whether a voter is missing while it lasts.
    pub fn disables_voter(&self) -> bool {
        matches!(self.target(), Target::Voter(_) | Target::AllVoters)
    }
}

/// What a fault befalls; only one does at a time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Target {
    /// A voter.
    Voter(usize),
    /// All voters.
    AllVoters,
    /// An entry host.
    Entry(usize),
    /// A replica.
    Replica(usize),
    /// The way to a replica.
    Link(usize),
    /// A replica's place on the list.
    Listing(usize),
    /// The list.
    List,
}

/// Draws a fault.
pub fn random(rng: &mut ChaCha8Rng, replicas: usize) -> Fault {
    let voter = rng.random_range(0..VOTERS);
    let entry = rng.random_range(0..ENTRY_HOSTS);
    let replica = rng.random_range(0..replicas);
    match rng.random_range(0..20) {
        0 => Fault::KillVoter(voter),
        1 => Fault::TearVoterLog(voter),
        2 => Fault::WipeVoterDisk(voter),
        3 => Fault::PauseVoter(voter),
        4 => Fault::KillAllVoters,
        5 => Fault::KillEntry(entry),
        6 => Fault::PauseEntry(entry),
        7 | 8 => Fault::StopEntry(entry),
        9 => Fault::ReloadEntry(entry),
        10..=12 => Fault::Replica(replica, random_replica_mode(rng)),
        13..=15 => Fault::Link(replica, random_link_mode(rng)),
        16..=18 => Fault::DrainReplica(replica),
        _ => Fault::List(random_list_mode(rng)),
    }
}

/// Draws how long a fault lasts. A replica drains for longer than hosts may go on
/// sending to it.
pub fn random_duration(rng: &mut ChaCha8Rng, fault: &Fault) -> Duration {
    let duration = Duration::from_millis(rng.random_range(200..3_000));
    match fault {
        Fault::DrainReplica(_) => duration + DRAIN_MAX,
        _ => duration,
    }
}

/// Draws the pause until the next fault; faults overlap.
pub fn random_pause(rng: &mut ChaCha8Rng) -> Duration {
    Duration::from_millis(rng.random_range(50..900))
}

fn random_replica_mode(rng: &mut ChaCha8Rng) -> replica::Mode {
    use replica::Mode;
    let modes = [
        Mode::Slow,
        Mode::Unresponsive,
        Mode::Shedding,
        Mode::LosingAnswers,
        Mode::WrongRequest,
    ];
    modes[rng.random_range(0..modes.len())]
}

fn random_link_mode(rng: &mut ChaCha8Rng) -> proxy::Mode {
    use proxy::Mode;
    let delay = Duration::from_millis(rng.random_range(5..150));
    let modes = [
        Mode::Delay(delay),
        Mode::Stall,
        Mode::StallAnswers,
        Mode::Close,
    ];
    modes[rng.random_range(0..modes.len())]
}

fn random_list_mode(rng: &mut ChaCha8Rng) -> list::Mode {
    use list::Mode;
    let modes = [Mode::Slow, Mode::Failing, Mode::Malformed];
    modes[rng.random_range(0..modes.len())]
}
