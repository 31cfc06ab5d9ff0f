//! Stored form of the replicated state.
//!
//! The state is nested in records and messages that are encoded by position, so that no field can
//! be added to it. Rollouts, and the revisions at which failure domains were taken out of service or
//! put back, are stored as further entries of the set of closed failure domains. Their text contains
//! spaces, which no name of a failure domain does. An older build takes them for domains without
//! replicas, and keeps them when it changes the state.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Span;
use crate::name::Name;
use crate::rollout::Phase;
use crate::rollout::Record;
use crate::rollout::Stage;
use crate::tier::State;
use crate::voter::Incarnation;

/// First word of an entry that stands for a rollout.
const MARK: &str = "rollout";

/// First word of an entry that stands for the last order on a failure domain.
const SWITCHED_MARK: &str = "switched";

/// Word for an absent value.
const NONE: &str = "-";

/// The state as all builds store it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Stored {
    revision: u64,
    version: u64,
    document: Arc<[u8]>,
    closed: BTreeSet<Name>,
    seats: Vec<Incarnation>,
}

impl From<State> for Stored {
    fn from(state: State) -> Stored {
        let mut closed = state.closed;
        let entries = state.rollouts.iter();
        closed.extend(entries.map(|(service, record)| encode(service, record)));
        let switched = state.switched.iter();
        closed.extend(switched.map(|(domain, at)| encode_switched(domain, *at)));
        Stored {
            revision: state.revision,
            version: state.version,
            document: state.document,
            closed,
            seats: state.seats,
        }
    }
}

impl From<Stored> for State {
    fn from(stored: Stored) -> State {
        let mut closed = BTreeSet::new();
        let mut rollouts = BTreeMap::new();
        let mut switched = BTreeMap::new();
        for entry in stored.closed {
            if let Some((service, record)) = decode(&entry) {
                rollouts.insert(service, record);
            } else if let Some((domain, revision)) = decode_switched(&entry) {
                switched.insert(domain, revision);
            } else {
                closed.insert(entry);
            }
        }
        State {
            revision: stored.revision,
            version: stored.version,
            document: stored.document,
            closed,
            seats: stored.seats,
            rollouts,
            switched,
        }
    }
}

/// Encodes the revision of the last order on a failure domain as an entry.
fn encode_switched(domain: &Name, revision: u64) -> Name {
    Name::from(format!("{SWITCHED_MARK} {domain} {revision}"))
}

/// Decodes such an entry; `None` if it is another one.
fn decode_switched(entry: &Name) -> Option<(Name, u64)> {
    let mut words = entry.split(' ');
    if words.next()? != SWITCHED_MARK {
        return None;
    }
    let domain = Name::parse(words.next()?)?;
    Some((domain, words.next()?.parse().ok()?))
}

/// Encodes a rollout as an entry.
fn encode(service: &Name, record: &Record) -> Name {
    let proven = record.proven.as_ref().map_or(NONE, |proven| proven);
    let refused = record.refused.iter().map(|name| &**name);
    let refused = refused.collect::<Vec<_>>().join(",");
    let refused = if refused.is_empty() { NONE } else { &refused };
    let phase = match record.phase {
        Phase::InProgress => 0,
        Phase::Completed => 1,
        Phase::RolledBack => 2,
    };
    let (duration, elapsed) = (record.duration.as_us(), record.elapsed.as_us());
    let stage = record.stage as u8;
    let Record {
        target,
        id,
        serial,
        share,
        request,
        ..
    } = record;
    let text = format!(
        "{MARK} {service} {target} {id} {serial} {duration} {elapsed} {phase} {stage} {share} \
         {proven} {refused} {request}"
    );
    Name::from(text)
}

/// Decodes an entry; `None` if it is no rollout. Words after the last known one are ignored.
fn decode(entry: &Name) -> Option<(Name, Record)> {
    let mut words = entry.split(' ');
    if words.next()? != MARK {
        return None;
    }
    let service = Name::parse(words.next()?)?;
    let target = Name::parse(words.next()?)?;
    let mut number = || words.next()?.parse::<u64>().ok();
    let (id, serial) = (number()?, number()?);
    let duration = Span::from_us(number()?);
    let elapsed = Span::from_us(number()?);
    let phase = match number()? {
        0 => Phase::InProgress,
        1 => Phase::Completed,
        _ => Phase::RolledBack,
    };
    let stages = [
        Stage::Canary,
        Stage::Ramp,
        Stage::Half,
        Stage::Full,
        Stage::Closing,
    ];
    let stage = *stages.get(number()? as usize)?;
    let share = number()?.min(1_000) as u32;
    let proven = words.next()?;
    let refused = words.next()?.split(',');
    // Records of older builds end here.
    let request = words.next().and_then(|word| word.parse().ok());
    let record = Record {
        target,
        id,
        serial,
        duration,
        elapsed,
        phase,
        stage,
        share,
        proven: (proven != NONE).then(|| Name::from(proven)),
        refused: refused
            .filter(|name| *name != NONE)
            .map(Name::from)
            .collect(),
        request: request.unwrap_or_default(),
    };
    Some((service, record))
}
