//! Whether a host's own links to the servers work.
//!
//! Load pattern: a host loses its links to all servers for seconds, while callers and other hosts
//! still reach it. Connections hang or are reset, or old ones live on while new ones are refused.
//! A host that only sees calls fail can't tell that from many servers that fail at once. So calls
//! that fail at several servers are a suspicion, and the host then tries to open connections to
//! servers, first to those that answered last. If none of them accepts one, or all stay silent for
//! longer than such calls usually take, the links are lost. They count as back once servers answer
//! trial calls. Servers are silent from when they were asked: time without calls shows nothing.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Span;
use crate::clock::Time;

/// Servers at which calls must fail before the links are suspected.
const SUSPECTS_MIN: usize = 3;

/// Time for which a failed call counts.
const FAILURE_TTL: Span = Span::from_ms(1_000);

/// Time without any answer, while calls to several servers are open for as long, after which the
/// links are suspected.
const QUIET_MIN: Span = Span::from_ms(120);

/// The same beyond what the calls usually take, after which the links count as lost even if servers
/// accept connections; and the time for which calls must fail at several servers, and none be
/// answered.
const QUIET_MAX: Span = Span::from_ms(700);

/// Servers to which connections are tried in one round.
const PROBES: usize = 3;

/// Rounds in a row that must find no server while servers answer on open connections.
const ROUNDS_MIN: u32 = 2;

/// Shortest time between two rounds while the links are suspected.
const ROUND_EVERY: Span = Span::from_ms(300);

/// Time between two probes while the links are lost or on trial.
const PROBE_EVERY: Span = Span::from_ms(250);

/// Time between two trial calls while the links may be back.
const TRIAL_EVERY: Span = Span::from_ms(60);

/// Servers that must answer trial calls before the links count as back.
const TRIALS_MIN: usize = 4;

/// Time within which they must answer, at first; without any call in that time, servers that accept
/// connections show that the links are back.
const TRIAL_MIN: Span = Span::from_ms(1_500);

/// Longest such time. It doubles each time that links which counted as back are lost again, so that
/// a host whose links come and go is left alone.
const TRIAL_MAX: Span = Span::from_secs(12);

/// Time after which links that are back count as lost anew.
const RELAPSE_MAX: Span = Span::from_secs(15);

/// Time for which a connection must stay open to show that a server can be reached. A device on the
/// way may accept connections and reset them a moment later.
pub const REACHABLE_TIME: Span = Span::from_ms(100);

/// The same for the connections that end a trial without calls, since a device that is busy resets
/// them later.
const TRIAL_REACHABLE_TIME: Span = Span::from_ms(1_000);

/// Last answers that are remembered, to pick servers for probes.
const ANSWERED_MAX: usize = 16;

/// State of a host's links to the servers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum State {
    /// The links work.
    #[default]
    #[display("sound")]
    Sound,
    /// No server can be reached.
    #[display("lost")]
    Lost,
    /// A server accepted a connection after the links were lost.
    #[display("on trial")]
    Trial,
}

/// A connection to be tried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Probe {
    /// The server.
    pub server: SocketAddr,
    /// Time for which the connection must stay open.
    pub open_for: Span,
}

/// The calls to a server that are not answered yet.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Unanswered {
    /// Time since the oldest was sent.
    pub open: Span,
    /// Longest time beyond what such a call usually takes.
    pub late: Span,
}

impl Unanswered {
    /// Adds a call that was sent this long ago and usually takes `usual`.
    pub fn add(self, open: Span, usual: Span) -> Unanswered {
        Unanswered {
            open: self.open.max(open),
            late: self.late.max(open.saturating_sub(usual)),
        }
    }
}

/// A host's evidence on its links.
#[derive(Clone, Debug, Default)]
pub struct Uplink {
    state: State,
    /// When the state began.
    since: Time,
    /// When a server last answered.
    heard_at: Time,
    /// Servers that answered last, the latest at the end.
    answered: Vec<SocketAddr>,
    /// Servers at which a call failed, with the time of the last one.
    failed: BTreeMap<SocketAddr, Time>,
    /// When the first call failed of those that failed since the last answer, at most
    /// [`FAILURE_TTL`] apart.
    failing_since: Option<Time>,
    /// Probes that have not ended.
    probing: usize,
    /// When the last round or probe began.
    probed_at: Option<Time>,
    /// When the evidence began for which the last round of probes was sent.
    suspected_at: Time,
    /// Whether the last round of probes found a server that accepts connections.
    accepted: bool,
    /// Rounds in a row that found none.
    failed_rounds: u32,
    /// When the next trial call may be sent.
    trial_at: Time,
    /// Servers that answered trial calls.
    trials: BTreeSet<SocketAddr>,
    /// Length of the current trial, or of the last one.
    trial_time: Span,
    /// Whether the probes under way end the trial.
    ends_trial: bool,
}

impl Uplink {
    /// State of the links.
    pub fn state(&self) -> State {
        self.state
    }

    /// Number of servers at which calls failed lately.
    pub fn suspects(&self) -> usize {
        self.failed.len()
    }

    /// Time for which at least `count` servers have been asked and none has answered, by one of the
    /// measures of [`Unanswered`]; zero if fewer are asked.
    fn silence(
        &self,
        now: Time,
        count: usize,
        unanswered: &[Unanswered],
        measure: impl Fn(&Unanswered) -> Span,
    ) -> Span {
        let mut spans = unanswered.iter().map(measure).collect::<Vec<_>>();
        spans.sort_unstable_by(|a, b| b.cmp(a));
        let asked = count.checked_sub(1).and_then(|at| spans.get(at));
        let asked = asked.copied().unwrap_or(Span::ZERO);
        asked.min(now.since(self.heard_at))
    }

    /// Number of servers with a call that has been open for long enough to be suspected, if none has
    /// answered for as long.
    pub fn quiet(&self, now: Time, unanswered: &[Unanswered]) -> usize {
        let heard = now.since(self.heard_at);
        let quiet = |server: &&Unanswered| server.open.min(heard) >= QUIET_MIN;
        unanswered.iter().filter(quiet).count()
    }

    /// Records an answer of a server.
    pub fn record_answer(&mut self, now: Time, server: SocketAddr) {
        self.heard_at = now;
        self.failing_since = None;
        self.failed.remove(&server);
        self.answered.retain(|other| *other != server);
        self.answered.push(server);
        if self.answered.len() > ANSWERED_MAX {
            self.answered.remove(0);
        }
        if self.state == State::Trial {
            self.trials.insert(server);
            if self.trials.len() >= TRIALS_MIN {
                self.enter(now, State::Sound);
            }
        }
    }

    /// Records that a call to a server failed at the connection, or that the server is silent.
    pub fn record_failure(&mut self, now: Time, server: SocketAddr) {
        self.failed.retain(|_, at| now.since(*at) < FAILURE_TTL);
        if self.failed.is_empty() {
            self.failing_since = None;
        }
        self.failing_since.get_or_insert(now);
        self.failed.insert(server, now);
    }

    /// Records the end of a probe: whether the server accepted a connection.
    pub fn record_probe(&mut self, now: Time, accepted: bool) {
        self.probing = self.probing.saturating_sub(1);
        self.accepted |= accepted;
        if self.accepted {
            self.failed_rounds = 0;
        }
        match self.state {
            State::Lost if accepted => self.enter(now, State::Trial),
            State::Sound if self.probing == 0 && !self.accepted => self.end_round(now),
            State::Trial if !accepted => self.enter(now, State::Lost),
            State::Trial if self.probing == 0 && self.ends_trial => {
                self.enter(now, State::Sound);
            }
            _ => {}
        }
    }

    /// Ends a round that found no server. While servers answer on open connections, one round
    /// proves little: servers reset connections beyond their limit.
    fn end_round(&mut self, now: Time) {
        self.failed_rounds += 1;
        let quiet_since = self.heard_at.max(self.suspected_at);
        if self.failed_rounds >= ROUNDS_MIN || now.since(quiet_since) >= QUIET_MIN {
            self.enter(now, State::Lost);
        }
    }

    fn enter(&mut self, now: Time, state: State) {
        let relapsed = match self.state {
            State::Sound => now.since(self.since) < RELAPSE_MAX && self.trial_time > Span::ZERO,
            State::Lost => false,
            State::Trial => state == State::Lost,
        };
        self.trial_time = match (state, relapsed) {
            (State::Lost, false) => TRIAL_MIN,
            (State::Lost, true) => self.trial_time.saturating_mul(2).min(TRIAL_MAX),
            _ => self.trial_time,
        };
        self.state = state;
        self.since = now;
        self.failed.clear();
        self.failing_since = None;
        self.failed_rounds = 0;
        self.trials.clear();
        self.ends_trial = false;
        self.trial_at = now;
        self.probed_at = Some(now);
    }

    /// Judges the links and returns the servers to which connections are to be tried. `unanswered`
    /// are the calls to each server that has any; `servers` are all servers.
    pub fn check(
        &mut self,
        now: Time,
        unanswered: &[Unanswered],
        servers: impl Iterator<Item = SocketAddr>,
    ) -> Vec<Probe> {
        let servers = servers.collect::<Vec<_>>();
        let needed = SUSPECTS_MIN.min(servers.len()).max(1);
        let silence = self.silence(now, needed, unanswered, |server| server.open);
        let late = self.silence(now, needed, unanswered, |server| server.late);
        let due = |every| self.probed_at.is_none_or(|at| now.since(at) >= every);
        if self.state == State::Sound {
            self.failed.retain(|_, at| now.since(*at) < FAILURE_TTL);
        }
        let is_failing = self.failed.len() >= needed;
        let failing_for = self.failing_since.map_or(Span::ZERO, |at| now.since(at));
        match self.state {
            State::Sound if late >= QUIET_MAX || is_failing && failing_for >= QUIET_MAX => {
                self.enter(now, State::Lost);
                Vec::new()
            }
            State::Sound => {
                let suspected = silence >= QUIET_MIN || is_failing;
                if !suspected || self.probing > 0 || !due(ROUND_EVERY) {
                    return Vec::new();
                }
                let asked_at = now.before(silence);
                self.suspected_at = self.failed.values().copied().fold(asked_at, Time::min);
                self.probe(now, PROBES, &servers)
            }
            State::Lost if due(PROBE_EVERY) && self.probing == 0 => self.probe(now, 1, &servers),
            State::Lost => Vec::new(),
            State::Trial => {
                let over = now.since(self.since) >= self.trial_time;
                let failing = !self.failed.is_empty() || self.quiet(now, unanswered) > 0;
                if is_failing || over && failing {
                    self.enter(now, State::Lost);
                    return Vec::new();
                }
                if self.probing > 0 || !over && !due(PROBE_EVERY) {
                    return Vec::new();
                }
                self.ends_trial = over;
                let probes = self.probe(now, if over { PROBES } else { 1 }, &servers);
                let open_for = match over {
                    true => TRIAL_REACHABLE_TIME,
                    false => REACHABLE_TIME,
                };
                let probes = probes.into_iter();
                probes.map(|probe| Probe { open_for, ..probe }).collect()
            }
        }
    }

    /// Picks servers for probes: those that answered last, then any others.
    fn probe(&mut self, now: Time, count: usize, servers: &[SocketAddr]) -> Vec<Probe> {
        let failed = |server: &SocketAddr| self.failed.contains_key(server);
        let answered = self.answered.iter().rev().copied();
        let mut chosen = answered
            .filter(|server| !failed(server))
            .collect::<Vec<_>>();
        let others = servers.iter().copied();
        let others = others.filter(|server| !self.answered.contains(server));
        chosen.extend(others.take(PROBES));
        chosen.extend(self.answered.iter().rev().filter(|server| failed(server)));
        chosen.truncate(count);
        if let Some(last) = self.answered.pop() {
            self.answered.insert(0, last);
        }
        self.probing = chosen.len();
        self.accepted = false;
        self.probed_at = Some(now);
        let probe = |server| Probe {
            server,
            open_for: REACHABLE_TIME,
        };
        chosen.into_iter().map(probe).collect()
    }

    /// Whether a call may be sent on links that are not known to work. A few may
    /// while they are on trial, at intervals.
    pub fn take_trial(&mut self, now: Time) -> bool {
        let due = self.state == State::Trial && now >= self.trial_at;
        if due {
            self.trial_at = now.after(TRIAL_EVERY);
        }
        due
    }

    /// When the links are to be judged next; absent while nothing is suspected, and until a probe
    /// that is under way ends.
    pub fn next_timer(&self) -> Option<Time> {
        let next_probe = self.probed_at.unwrap_or_default().after(PROBE_EVERY);
        match self.state {
            _ if self.probing > 0 => None,
            State::Sound => None,
            State::Lost => Some(next_probe),
            State::Trial => Some(next_probe.min(self.since.after(self.trial_time))),
        }
    }
}
