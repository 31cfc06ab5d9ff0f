//! Log lines about what a process of a discovered tier believes: its links, its state and the voters.
//!
//! docs/EVENTS.md lists the event numbers.

use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::controller::Note;
use wagtailbeam_decision::gateway::Evidence;
use wagtailbeam_decision::uplink::State;

use crate::rollout;

/// Logs that the state of this host's links to the servers changed, and why.
pub fn links_changed(state: State, evidence: Evidence) {
    let Evidence { failed, quiet, .. } = evidence;
    let quiet_ms = evidence.open_for.map(Span::as_ms);
    match state {
        State::Sound => {
            tracing::info!(event = 718, %state, failed, quiet, quiet_ms, "links to the servers changed")
        }
        State::Lost | State::Trial => {
            tracing::warn!(event = 718, %state, failed, quiet, quiet_ms, "links to the servers changed");
        }
    }
}

/// Logs a note of the voter's state machine.
pub fn of_voter(note: &Note) {
    match note {
        Note::Mode(mode) => tracing::info!(event = 730, mode, "voter mode changed"),
        Note::Quorum(true) => tracing::info!(event = 731, "majority regained"),
        Note::Quorum(false) => tracing::warn!(event = 732, "majority lost"),
        Note::Confirmed(true) => tracing::info!(event = 741, "state confirmed"),
        Note::Confirmed(false) => tracing::warn!(event = 742, "state not confirmed"),
        Note::Chosen {
            revision,
            version,
            closed,
        } => tracing::info!(event = 733, revision, version, closed, "state chosen"),
        Note::Fleet { replicas, age } => {
            let age_ms = age.as_ms();
            tracing::info!(event = 734, replicas, age_ms, "list changed");
        }
        Note::ListFailed => tracing::warn!(event = 735, "list not read"),
        Note::Seated(id) => tracing::info!(event = 736, voter = id, "voter's place given"),
        Note::Rollout(decision) => rollout::log_step(decision),
        Note::Lacking {
            revision,
            newest,
            voter,
            age,
        } => {
            let age_ms = age.as_ms();
            tracing::warn!(event = 740, revision, newest, %voter, age_ms, "newer state not received");
        }
        Note::Entries(hosts) => tracing::info!(event = 737, hosts, "entry hosts changed"),
    }
}
