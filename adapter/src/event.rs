//! Numbered log events of groups with a settings file; discovered tiers also log the events of
//! disk and peers. docs/EVENTS.md lists them, and a test compares that list with [`Event::ALL`].

use derive_more::Display;
use tracing::Level;
use wagtailbeam_decision::message::Note;
use wagtailbeam_decision::suspect::Standing;

/// A kind of log event.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Event {
    /// The daemon started.
    #[display("daemon started")]
    Started,
    /// A planned stop began.
    #[display("stop requested")]
    StopRequested,
    /// The daemon ended after a planned stop.
    #[display("daemon stopped")]
    Stopped,
    /// A majority of voters confirmed that the file in force is the newest.
    #[display("lease gained")]
    LeaseGained,
    /// A majority of voters no longer confirms that the file in force is the newest.
    #[display("lease lapsed")]
    LeaseLapsed,
    /// An operators' file came into force.
    #[display("file in force")]
    FileInForce,
    /// An accepted file can't be read by this daemon.
    #[display("file not understood")]
    FileNotUnderstood,
    /// The health of a replica changed.
    #[display("replica state changed")]
    ReplicaChanged,
    /// A request is suspected of making backend servers fail.
    #[display("request suspected")]
    Suspected,
    /// A suspected request was cleared, since its canary run was answered.
    #[display("request cleared")]
    Cleared,
    /// A request was quarantined, since its canary run made a backend server fail.
    #[display("request quarantined")]
    Quarantined,
    /// The mode of this host's voter changed.
    #[display("voter mode changed")]
    VoterChanged,
    /// The set of daemons that may own replicas changed.
    #[display("members changed")]
    MembersChanged,
    /// This daemon lost its links to the backend servers, or has them back.
    #[display("links to the servers changed")]
    LinksChanged,
    /// A write to the data folder failed.
    #[display("disk failed")]
    DiskFailed,
    /// Writes to the data folder succeed again after a failure.
    #[display("disk regained")]
    DiskRecovered,
    /// An incoming connection failed the handshake.
    #[display("peer refused")]
    PeerRefused,
    /// A connection from another daemon ended.
    #[display("peer lost")]
    PeerLost,
    /// The voters decided on a file that an operator applied.
    #[display("file applied")]
    FileApplied,
    /// The voter's log on disk was replaced by a snapshot.
    #[display("state compacted")]
    StateCompacted,
}

impl Event {
    /// All events in ascending order of their numbers.
    pub const ALL: [Event; 20] = [
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
        Event::LinksChanged,
        Event::DiskFailed,
        Event::DiskRecovered,
        Event::PeerRefused,
        Event::PeerLost,
        Event::FileApplied,
        Event::StateCompacted,
    ];

    /// The number of the event, which never changes.
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
            Event::LinksChanged => 411,
            Event::DiskFailed => 420,
            Event::DiskRecovered => 421,
            Event::PeerRefused => 500,
            Event::PeerLost => 501,
            Event::FileApplied => 600,
            Event::StateCompacted => 610,
        }
    }

    /// The log level of the event.
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

    /// Logs the event with `detail`, the text that says what is affected.
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

/// Logs a note from the state machine as a numbered event.
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
        Note::Links(_) => Event::LinksChanged,
        Note::Members(_) => Event::MembersChanged,
    };
    event.log(&note.to_string());
}
