//! Until when a voter knows that its state was the newest.
//!
//! Part of the controller. Voters exchange [`Report`]s with their status messages. A report says
//! which of the receiver's messages it follows, so that what it says is known to be as new as that
//! message: a report that was delayed confirms nothing of the present. A state is confirmed as of
//! the latest time T such that a majority, in reports that follow messages sent at T or later, knew
//! of no newer state. Each decided state was accepted by a majority, so none was decided before T.
//!
//! Ages are measured on the own clock from the moment at which the own message was sent. Source of
//! the idea: Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed file
//! cache consistency", 1989.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Reading;
use crate::clock::Span;
use crate::clock::Time;
use crate::controller::Action;
use crate::controller::Controller;
use crate::controller::Note;
use crate::controller::accepted_revision;
use crate::feed::Heartbeat;

/// Age of a confirmation from which a voter's state doesn't count as confirmed.
const CONFIRMED_MAX: Span = Span::from_ms(1_000);

/// Shortest time between two status messages in answer to voters whose state isn't confirmed.
const ANSWER_EVERY: Span = Span::from_ms(100);

/// Time for which a voter lacks a state before that is logged; a status may overtake a state that
/// was just chosen.
const LACKING_MIN: Span = Span::from_ms(250);

/// What a voter tells another one of the states that it knows.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Time of sending on the sender's clock; absent from older builds, which send no report.
    pub sent: Option<Reading>,
    /// Highest revision that the sender accepted or knows to be chosen.
    pub newest: u64,
    /// Time of sending of the last report from each voter, on that voter's clock.
    pub heard: Vec<(SocketAddr, Reading)>,
    /// Whether the sender's state isn't confirmed, so that the receiver answers soon.
    pub unconfirmed: bool,
}

/// What another voter last said.
#[derive(Clone, Copy, Debug)]
struct Statement {
    /// When this voter sent the message that the statement follows.
    at: Time,
    /// Highest revision that the other voter knew then.
    newest: u64,
}

/// Confirmations of one voter's state by the others.
#[derive(Clone, Debug)]
pub(crate) struct Confirmation {
    own: SocketAddr,
    /// Random number of this run of the process.
    run: u64,
    heard: BTreeMap<SocketAddr, Reading>,
    statements: BTreeMap<SocketAddr, Statement>,
    confirmed_at: Option<Time>,
}

/// A state that another voter knows to be chosen and this one has not received.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lacking {
    /// Newest such revision.
    pub(crate) revision: u64,
    /// When this voter heard of the first one.
    since: Time,
    logged: bool,
}

impl Confirmation {
    /// Creates the confirmations of the voter at this address, in this run of its process.
    pub(crate) fn new(own: SocketAddr, run: u64) -> Confirmation {
        Confirmation {
            own,
            run,
            heard: BTreeMap::new(),
            statements: BTreeMap::new(),
            confirmed_at: None,
        }
    }

    /// The report to be sent now.
    pub(crate) fn report(&self, now: Time, newest: u64, unconfirmed: bool) -> Report {
        Report {
            sent: Some(Reading {
                run: self.run,
                at: now,
            }),
            newest,
            heard: self.heard.iter().map(|(from, at)| (*from, *at)).collect(),
            unconfirmed,
        }
    }

    /// Records a report. One of an older build counts as new when it is read.
    pub(crate) fn record(&mut self, now: Time, from: SocketAddr, report: &Report) {
        let own = report.heard.iter().find(|(to, _)| *to == self.own);
        let follows = match report.sent {
            None => Some(now),
            Some(sent) => {
                self.heard.insert(from, sent);
                own.filter(|(_, reading)| reading.run == self.run)
                    .map(|(_, reading)| reading.at)
            }
        };
        let Some(at) = follows else {
            return;
        };
        let statement = Statement {
            at,
            newest: report.newest,
        };
        let last = self.statements.entry(from).or_insert(statement);
        if last.at <= at {
            *last = statement;
        }
    }

    /// Forgets what was heard of former voters.
    pub(crate) fn retain(&mut self, voters: &BTreeSet<SocketAddr>) {
        self.heard.retain(|from, _| voters.contains(from));
        self.statements.retain(|from, _| voters.contains(from));
    }

    /// Confirms the state of this revision if `needed` other voters, out of `voters`, know no newer
    /// one.
    pub(crate) fn update(
        &mut self,
        now: Time,
        revision: u64,
        voters: &BTreeSet<SocketAddr>,
        needed: usize,
    ) {
        let statements = self.statements.iter();
        let confirming = statements
            .filter(|(from, said)| voters.contains(*from) && said.newest <= revision)
            .map(|(_, said)| said.at);
        let mut times = confirming.collect::<Vec<_>>();
        times.sort_unstable_by(|a, b| b.cmp(a));
        let at = match needed.checked_sub(1) {
            Some(last) => times.get(last).copied(),
            None => Some(now),
        };
        self.confirmed_at = self.confirmed_at.max(at);
    }

    /// Latest time as of which the state is known to have been the newest; absent if none is.
    pub(crate) fn confirmed_at(&self) -> Option<Time> {
        self.confirmed_at
    }
}

impl Controller {
    /// Time for which a newer state than the own one may have been in force; absent if the own one
    /// was never confirmed.
    pub fn confirmation_age(&self, now: Time) -> Option<Span> {
        let confirmed_at = self.confirmation.confirmed_at();
        confirmed_at.map(|at| now.since(at))
    }

    /// What this voter tells the others of the states that it knows.
    pub(crate) fn confirmation_report(&self, now: Time) -> Report {
        let accepted = self.voter.as_ref().and_then(accepted_revision);
        let chosen = self.chosen.as_ref().map(|state| state.revision);
        let newest = accepted.max(chosen).unwrap_or_default();
        let unconfirmed = !self.is_confirmed(now);
        self.confirmation.report(now, newest, unconfirmed)
    }

    /// Whether this voter is in contact with a majority that lately knew of no newer state than the
    /// own one.
    pub fn is_confirmed(&self, now: Time) -> bool {
        let age = self.confirmation_age(now);
        self.quorum && age.is_some_and(|age| age < CONFIRMED_MAX)
    }

    /// Whether a status may be sent ahead of its time.
    pub(crate) fn may_send_status(&self, now: Time) -> bool {
        self.last_status
            .is_none_or(|at| now.since(at) >= ANSWER_EVERY)
    }

    /// Records a voter's report, or its revision if it sends no report, and confirms the own state.
    pub(crate) fn record_confirmation(
        &mut self,
        now: Time,
        from: SocketAddr,
        revision: u64,
        mut report: Report,
    ) {
        report.newest = report.newest.max(revision);
        self.confirmation.record(now, from, &report);
        self.update_confirmation(now);
    }

    /// Confirms the own state by what the voters said.
    pub(crate) fn update_confirmation(&mut self, now: Time) {
        let Some(revision) = self.chosen.as_ref().map(|state| state.revision) else {
            return;
        };
        let mut voters = self.voters().into_iter().collect::<BTreeSet<_>>();
        self.confirmation.retain(&voters);
        voters.retain(|address| self.peers.get(address).is_some_and(|peer| peer.voting));
        let accepted = self.voter.as_ref().and_then(accepted_revision);
        let majority = usize::from(self.settings.voters) / 2 + 1;
        let needed = majority - usize::from(accepted <= Some(revision));
        self.confirmation.update(now, revision, &voters, needed);
    }

    /// Latest time as of which the own state is known to have been the newest, on the clock of the
    /// entry host that sent a heartbeat; absent if it gave no time. `arrived` is when that arrived.
    pub(crate) fn confirmed_for(&self, heartbeat: &Heartbeat, arrived: Time) -> Option<Reading> {
        let sent = (*heartbeat.sent)?;
        let confirmed_at = self.confirmation.confirmed_at()?;
        let at = sent.at.after(confirmed_at.since(arrived));
        let at = at.before(arrived.since(confirmed_at));
        Some(Reading { at, ..sent })
    }

    /// Records that another voter knows a newer state, and logs it once if that lasts.
    pub(crate) fn note_lacking(
        &mut self,
        now: Time,
        voter: SocketAddr,
        newest: u64,
        out: &mut Vec<Action>,
    ) {
        let lacking = self.lacking.get_or_insert(Lacking {
            revision: newest,
            since: now,
            logged: false,
        });
        lacking.revision = lacking.revision.max(newest);
        let age = now.since(lacking.since);
        if lacking.logged || age < LACKING_MIN {
            return;
        }
        lacking.logged = true;
        out.push(Action::Note(Note::Lacking {
            revision: self.chosen.as_ref().map_or(0, |state| state.revision),
            newest,
            voter,
            age,
        }));
    }
}
