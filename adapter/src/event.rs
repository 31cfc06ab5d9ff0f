//! Numbered log events; docs/EVENTS.md is their catalogue.

use derive_more::Display;
use tracing::Level;
use wagtailbeam_decision::message::Note;
use wagtailbeam_decision::suspect::Standing;

/// A kind of event.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Event {
    /// The daemon started.
    #[display("daemon started")]
    Started,
    /// A planned stop began.
    #[display("stop requested")]
    StopRequested,
    /// The daemon ended.
    #[display("daemon stopped")]
    Stopped,
    /// The lease was gained.
    #[display("lease gained")]
    LeaseGained,
    /// The lease lapsed.
    #[display("lease lapsed")]
    LeaseLapsed,
    /// A file came into force.
    #[display("file in force")]
    FileInForce,
    /// An accepted file is not understood.
    #[display("file not understood")]
    FileNotUnderstood,
    /// A replica's state changed.
    #[display("replica state changed")]
    ReplicaChanged,
    /// A request is suspected of stopping servers.
    #[display("request suspected")]
    Suspected,
    /// A suspected request was cleared.
    #[display("request cleared")]
    Cleared,
    /// A request was quarantined of stopping servers.
    #[display("request quarantined")]
    Quarantined,
    /// The voter's mode changed.
    #[display("voter mode changed")]
    VoterChanged,
    /// The daemons able to own replicas changed.
    #[display("members changed")]
    MembersChanged,
    /// The disk failed.
    #[display("disk failed")]
    DiskFailed,
    /// A disk that refused writes takes them again.
    #[display("disk regained")]
    DiskRecovered,
    /// A connection of another daemon was refused.
    #[display("peer refused")]
    PeerRefused,
    /// A connection to or from another daemon ended.
    #[display("peer lost")]
    PeerLost,
    /// An operator applied a file.
    #[display("file applied")]
    FileApplied,
    /// The log was replaced by a snapshot.
    #[display("state compacted")]
    StateCompacted,
}

impl Event {
    /// All events in the order of their numbers.
    pub const ALL: [Event; 19] = [
        Event::Started,
        Event::StopRequested,
        Event::Stopped,
        Event::LeaseGained,
        Event::LeaseLapsed,
        Event::FileInForce,
        Event::FileNotUnderstood,
        Event::ReplicaChanged,
        Event::Suspected,
        Event::Cleared,
        Event::Quarantined,
        Event::VoterChanged,
        Event::MembersChanged,
        Event::DiskFailed,
        Event::DiskRecovered,
        Event::PeerRefused,
        Event::PeerLost,
        Event::FileApplied,
        Event::StateCompacted,
    ];

    /// Its number, which never changes.
    pub const fn number(self) -> u32 {
        match self {
            Event::Started => 100,
            Event::StopRequested => 101,
            Event::Stopped => 102,
            Event::LeaseGained => 200,
            Event::LeaseLapsed => 201,
            Event::FileInForce => 202,
            Event::FileNotUnderstood => 203,
            Event::ReplicaChanged => 300,
            Event::Suspected => 310,
            Event::Cleared => 311,
            Event::Quarantined => 312,
            Event::VoterChanged => 400,
            Event::MembersChanged => 410,
            Event::DiskFailed => 420,
            Event::DiskRecovered => 421,
            Event::PeerRefused => 500,
            Event::PeerLost => 501,
            Event::FileApplied => 600,
            Event::StateCompacted => 610,
        }
    }

    /// Its level.
    pub const fn level(self) -> Level {
        match self {
            Event::DiskFailed | Event::FileNotUnderstood => Level::ERROR,
            Event::LeaseLapsed | Event::Suspected | Event::Quarantined | Event::PeerRefused => {
                Level::WARN
            }
            Event::StateCompacted => Level::DEBUG,
            _ => Level::INFO,
        }
    }

    /// Logs it with a detail.
    pub fn log(self, detail: &str) {
        let number = self.number();
        match self.level() {
            Level::ERROR => tracing::error!(event = number, detail, "{self}"),
            Level::WARN => tracing::warn!(event = number, detail, "{self}"),
            Level::DEBUG => tracing::debug!(event = number, detail, "{self}"),
            _ => tracing::info!(event = number, detail, "{self}"),
        }
    }
}

/// Logs a note of the decision package.
pub fn log_note(note: &Note) {
    let event = match note {
        Note::LeaseGained => Event::LeaseGained,
        Note::LeaseLapsed => Event::LeaseLapsed,
        Note::InForce(_) => Event::FileInForce,
        Note::NotUnderstood(_) => Event::FileNotUnderstood,
        Note::Replica(..) => Event::ReplicaChanged,
        Note::Standing(_, Standing::Suspect) => Event::Suspected,
        Note::Standing(_, Standing::Cleared) => Event::Cleared,
        Note::Standing(_, Standing::Quarantined) => Event::Quarantined,
        Note::Voter(_) => Event::VoterChanged,
        Note::Members(_) => Event::MembersChanged,
    };
    event.log(&note.to_string());
}
