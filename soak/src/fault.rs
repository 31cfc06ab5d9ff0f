//! Faults: what goes wrong, and for how long, drawn from the seed.

use std::time::Duration;

use derive_more::Display;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::deployment::ENTRIES;
use crate::deployment::VOTERS;
use crate::ledger::DRAIN_MAX;
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
    TearVoter(usize),
    /// A voter is killed and its disk lost.
    #[display("voter-{_0} killed, its disk lost")]
    WipeVoter(usize),
    /// A voter freezes.
    #[display("voter-{_0} frozen")]
    FreezeVoter(usize),
    /// All voters are killed at once.
    #[display("all voters killed")]
    KillVoters,
    /// An entry host is killed.
    #[display("entry-{_0} killed")]
    KillEntry(usize),
    /// An entry host freezes.
    #[display("entry-{_0} frozen")]
    FreezeEntry(usize),
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
    Drain(usize),
    /// The list misbehaves.
    #[display("list {_0:?}")]
    List(list::Mode),
}

impl Fault {
    /// What it befalls.
    pub fn target(&self) -> Target {
        match self {
            Fault::KillVoter(at)
            | Fault::TearVoter(at)
            | Fault::WipeVoter(at)
            | Fault::FreezeVoter(at) => Target::Voter(*at),
            Fault::KillVoters => Target::Voters,
            Fault::KillEntry(at)
            | Fault::FreezeEntry(at)
            | Fault::StopEntry(at)
            | Fault::ReloadEntry(at) => Target::Entry(*at),
            Fault::Replica(at, _) => Target::Replica(*at),
            Fault::Link(at, _) => Target::Link(*at),
            Fault::Drain(at) => Target::Listing(*at),
            Fault::List(_) => Target::List,
        }
    }

    /// Whether news of the list may be late while it lasts, whatever else does.
    pub fn delays_news(&self) -> bool {
        match self {
            Fault::KillVoters | Fault::FreezeEntry(_) | Fault::List(_) => true,
            Fault::KillVoter(_)
            | Fault::TearVoter(_)
            | Fault::WipeVoter(_)
            | Fault::FreezeVoter(_)
            | Fault::KillEntry(_)
            | Fault::StopEntry(_)
            | Fault::ReloadEntry(_)
            | Fault::Replica(..)
            | Fault::Link(..)
            | Fault::Drain(_) => false,
        }
    }

    /// Whether a voter is missing while it lasts.
    pub fn takes_voter(&self) -> bool {
        matches!(self.target(), Target::Voter(_) | Target::Voters)
    }
}

/// What a fault befalls; only one does at a time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Target {
    /// A voter.
    Voter(usize),
    /// All voters.
    Voters,
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
pub fn draw(random: &mut ChaCha8Rng, replicas: usize) -> Fault {
    let voter = random.random_range(0..VOTERS);
    let entry = random.random_range(0..ENTRIES);
    let replica = random.random_range(0..replicas);
    match random.random_range(0..20) {
        0 => Fault::KillVoter(voter),
        1 => Fault::TearVoter(voter),
        2 => Fault::WipeVoter(voter),
        3 => Fault::FreezeVoter(voter),
        4 => Fault::KillVoters,
        5 => Fault::KillEntry(entry),
        6 => Fault::FreezeEntry(entry),
        7 | 8 => Fault::StopEntry(entry),
        9 => Fault::ReloadEntry(entry),
        10..=12 => Fault::Replica(replica, draw_replica(random)),
        13..=15 => Fault::Link(replica, draw_link(random)),
        16..=18 => Fault::Drain(replica),
        _ => Fault::List(draw_list(random)),
    }
}

/// Draws how long a fault lasts. A replica drains for longer than hosts may go on
/// sending to it.
pub fn draw_length(random: &mut ChaCha8Rng, fault: &Fault) -> Duration {
    let length = Duration::from_millis(random.random_range(200..3_000));
    match fault {
        Fault::Drain(_) => length + DRAIN_MAX,
        _ => length,
    }
}

/// Draws the pause until the next fault; faults overlap.
pub fn draw_pause(random: &mut ChaCha8Rng) -> Duration {
    Duration::from_millis(random.random_range(50..900))
}

fn draw_replica(random: &mut ChaCha8Rng) -> replica::Mode {
    use replica::Mode;
    let modes = [
        Mode::Slow,
        Mode::Unresponsive,
        Mode::Shedding,
        Mode::LosingAnswers,
        Mode::WrongRequest,
    ];
    modes[random.random_range(0..modes.len())]
}

fn draw_link(random: &mut ChaCha8Rng) -> proxy::Mode {
    use proxy::Mode;
    let delay = Duration::from_millis(random.random_range(5..150));
    let modes = [
        Mode::Delay(delay),
        Mode::Stall,
        Mode::StallAnswers,
        Mode::Close,
    ];
    modes[random.random_range(0..modes.len())]
}

fn draw_list(random: &mut ChaCha8Rng) -> list::Mode {
    use list::Mode;
    let modes = [Mode::Slow, Mode::Failing, Mode::Malformed];
    modes[random.random_range(0..modes.len())]
}
