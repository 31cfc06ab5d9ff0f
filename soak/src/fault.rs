//! The faults that a run injects, and the random choice of faults and their durations.
//! [`crate::run`] asks for them, the cluster injects and reverts them.

use std::time::Duration;

use derive_more::Display;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::checker::DRAIN_LAG_MAX;
use crate::deployment::VOTERS;
use crate::list;
use crate::proxy;
use crate::replica;

/// A fault to inject. Voters, entry hosts and replicas are given by their index.
#[derive(Clone, Copy, Debug, Display)]
pub enum Fault {
    /// Kills a voter and restarts it at the end.
    #[display("voter-{_0} killed")]
    KillVoter(usize),
    /// Kills a voter in the middle of a write: leaves an incomplete record at the end of its
    /// log, and restarts the voter at the end of the fault.
    #[display("voter-{_0} killed, incomplete record at the end of its log")]
    TearVoterLog(usize),
    /// Kills a voter and deletes its data folder, as if its disk were lost.
    #[display("voter-{_0} killed, data folder deleted")]
    WipeVoterDisk(usize),
    /// Suspends a voter with SIGSTOP and resumes it at the end.
    #[display("voter-{_0} paused")]
    PauseVoter(usize),
    /// Kills all voters at once and restarts them at the end.
    #[display("all voters killed")]
    KillAllVoters,
    /// Kills an entry host and restarts it at the end.
    #[display("entry-{_0} killed")]
    KillEntry(usize),
    /// Suspends an entry host with SIGSTOP and resumes it at the end.
    #[display("entry-{_0} paused")]
    PauseEntry(usize),
    /// Stops an entry host gracefully with SIGTERM and restarts it at the end.
    #[display("entry-{_0} stopped gracefully")]
    StopEntry(usize),
    /// Makes an entry host reload its settings with SIGHUP.
    #[display("entry-{_0} reloads its settings")]
    ReloadEntry(usize),
    /// Sets a replica to a failure mode.
    #[display("replica {_0} {_1:?}")]
    Replica(usize, replica::Mode),
    /// Sets the proxy in front of a replica to a failure mode.
    #[display("link {_0} {_1:?}")]
    Link(usize, proxy::Mode),
    /// Lists a replica as draining.
    #[display("replica {_0} listed as draining")]
    DrainReplica(usize),
    /// Sets the list of replicas to a failure mode.
    #[display("list {_0:?}")]
    List(list::Mode),
}

impl Fault {
    /// The part of the run that the fault affects.
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

    /// Whether this fault alone may delay updates of the list of replicas.
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

    /// Whether a voter is unavailable while the fault lasts.
    pub fn disables_voter(&self) -> bool {
        matches!(self.target(), Target::Voter(_) | Target::AllVoters)
    }
}

/// The part of a run that a fault affects. At any time, at most one fault affects each
/// target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Target {
    /// One voter.
    Voter(usize),
    /// All voters together.
    AllVoters,
    /// One entry host.
    Entry(usize),
    /// One replica.
    Replica(usize),
    /// The proxy in front of one replica.
    Link(usize),
    /// The entry of one replica in the list.
    Listing(usize),
    /// The whole list of replicas.
    List,
}

/// Picks a random fault, given the numbers of entry hosts and of all services' replicas.
pub fn random(rng: &mut ChaCha8Rng, entry_hosts: usize, replicas: usize) -> Fault {
    let voter = rng.random_range(0..VOTERS);
    let entry = rng.random_range(0..entry_hosts);
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

/// Picks a random duration for a fault. A replica drains for longer than entry hosts
/// may go on sending to it, which is [`DRAIN_LAG_MAX`].
pub fn random_duration(rng: &mut ChaCha8Rng, fault: &Fault) -> Duration {
    let duration = Duration::from_millis(rng.random_range(200..3_000));
    match fault {
        Fault::DrainReplica(_) => duration + DRAIN_LAG_MAX,
        _ => duration,
    }
}

/// Picks a random pause between the starts of two faults; faults may overlap.
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
