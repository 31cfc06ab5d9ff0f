//! A proposal that is being decided: its ballot, and the time that the ballot has.
//!
//! Part of [`crate::proposer`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::clock::Span;
use crate::clock::Time;
use crate::register::Change;
use crate::register::Decision;
use crate::register::Key;
use crate::register::Value;
use crate::voter::Ballot;
use crate::voter::Body;
use crate::voter::Hint;
use crate::voter::Id;

/// Time after which an unanswered ballot is restarted with a higher round.
const BALLOT_TIMEOUT: Span = Span::from_ms(150);

/// Bytes of a value that reach all voters and their disks in a millisecond, at least.
const TRANSFER_BYTES_PER_MS: u64 = 4 * 1024;

/// Transfers of its value for which a proposal has time: promises and acceptances of two ballots.
pub(crate) const TRANSFERS_MAX: u64 = 4;

/// Time after which a voter ends a proposal with [`Decision::Unknown`].
const PROPOSAL_TIMEOUT: Span = Span::from_ms(2_500);

/// Low bits of a round, which name the lifetime of its proposer; attempts are counted in the
/// others.
pub(crate) const LIFETIME_BITS: u32 = 32;

/// Stage of a ballot.
#[derive(Clone, Debug)]
pub(crate) enum Stage {
    /// Collects promises with the values accepted before, by voter.
    Prepare(BTreeMap<Id, Option<(Ballot, Value)>>),
    /// Collects the voters that accepted; the decision holds once a majority did.
    Accept(BTreeSet<Id>, Box<Decision>),
    /// Was rejected and restarts at this time.
    Backoff(Time),
    /// Waits for the ballot of another voter, until this time at most.
    Deferred(Time),
}

/// Proposal of a key that is being decided.
#[derive(Clone, Debug)]
pub(crate) struct Running {
    pub(crate) ticket: u64,
    pub(crate) change: Change,
    pub(crate) ballot: Ballot,
    pub(crate) stage: Stage,
    pub(crate) sent_at: Time,
    pub(crate) started_at: Time,
    /// Ballots that ended by rejections.
    pub(crate) rejections: u64,
    /// Voters that rejected this ballot.
    pub(crate) rejected_by: BTreeSet<Id>,
    /// Highest round that a rejection named.
    pub(crate) promised: u64,
    /// Value that this voter had accepted last when the ballot began.
    pub(crate) held: Option<(Ballot, Value)>,
    /// Whether the ballot only asks if that is the newest value.
    pub(crate) reads: bool,
    /// Voters that accepted that value last, of a ballot that reads.
    pub(crate) agreeing: BTreeSet<Id>,
    /// Whether a ballot that only read found another value, or not enough answers.
    pub(crate) reads_failed: bool,
}

impl Running {
    /// Whether it is a read that waits for the ballot of another voter.
    pub(crate) fn is_deferred_read(&self) -> bool {
        self.change == Change::Read && matches!(self.stage, Stage::Deferred(_))
    }

    /// Bytes of the value that is under way.
    pub(crate) fn bytes(&self) -> usize {
        let held = self.held.as_ref().map_or(0, |(_, value)| value.size());
        match &self.stage {
            Stage::Accept(_, decision) => decision.size().max(held),
            _ => held,
        }
    }

    /// Time for which the ballot waits for answers.
    pub(crate) fn timeout(&self) -> Span {
        BALLOT_TIMEOUT + transfer_time(self.bytes())
    }

    /// Time after which the proposal ends without a decision.
    pub(crate) fn limit(&self) -> Span {
        let transfers = transfer_time(self.bytes()).saturating_mul(TRANSFERS_MAX);
        PROPOSAL_TIMEOUT + transfers
    }

    /// Whether the backoff is over or the ballot went unanswered for too long.
    pub(crate) fn is_due(&self, now: Time) -> bool {
        match self.stage {
            Stage::Backoff(until) | Stage::Deferred(until) => until <= now,
            Stage::Prepare(_) | Stage::Accept(..) => now.since(self.sent_at) >= self.timeout(),
        }
    }

    /// Starts the next round and returns its first body.
    pub(crate) fn restart(&mut self, now: Time, key: Key, lifetime: u64) -> Body {
        let is_unanswered = matches!(self.stage, Stage::Prepare(_));
        self.reads_failed |= self.reads && is_unanswered;
        self.ballot.round = round_above(self.ballot.round.max(self.promised), lifetime);
        self.rejected_by.clear();
        self.stage = Stage::Prepare(BTreeMap::new());
        self.sent_at = now;
        Body::Prepare(key, self.ballot, Hint::default().into())
    }
}

/// Time that a value of this many bytes needs to reach all voters and their disks.
pub(crate) fn transfer_time(bytes: usize) -> Span {
    Span::from_ms(bytes as u64 / TRANSFER_BYTES_PER_MS)
}

/// The next attempt above a round, in this lifetime of the proposer. Voters of earlier builds
/// count up by one; their rounds compare as well.
pub(crate) fn round_above(round: u64, lifetime: u64) -> u64 {
    let attempt = (round >> LIFETIME_BITS) + 1;
    (attempt << LIFETIME_BITS) | lifetime
}
