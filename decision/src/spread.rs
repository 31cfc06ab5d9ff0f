//! Holds failures back until the other daemons know which request is suspected.
//!
//! Load pattern: a request ends the server that runs it, and its caller repeats it at once, at
//! another daemon of a busy group. If the failure reached the caller before the suspicion reached
//! that daemon, the repeat would end one more server.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::clock::Span;
use crate::clock::Time;
use crate::digest::Digest;
use crate::name::Name;
use crate::request::Outcome;
use crate::suspect::STANDING_TTL;

/// Longest time for which a failure is held back. A daemon that is frozen, or of an older build,
/// doesn't confirm.
const HOLD_MAX: Span = Span::from_ms(150);

/// A failure on its way to an entry daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    /// Host of the entry daemon.
    pub to: Name,
    /// Identifier of the sub-request at the entry daemon.
    pub id: u64,
    /// The replica that ended.
    pub replica: SocketAddr,
    /// Outcome of the sub-request.
    pub outcome: Outcome,
}

/// What this daemon and others told each other of one suspicion.
#[derive(Clone, Debug)]
struct Exchange {
    expires_at: Time,
    /// Hosts that this daemon told.
    told: BTreeSet<Name>,
    /// Hosts that told this daemon.
    heard: BTreeSet<Name>,
}

/// Suspicions that other daemons have not confirmed, and the failures that wait for them.
#[derive(Clone, Debug, Default)]
pub struct Spread {
    /// Hosts that have not confirmed a suspicion, and until when it is waited for.
    unconfirmed: BTreeMap<Digest, (Time, BTreeSet<Name>)>,
    /// What was told of each suspicion.
    exchanges: BTreeMap<Digest, Exchange>,
    /// Failures that are held back, and until when at the latest.
    held: Vec<(Time, Reply)>,
}

impl Spread {
    /// Records that the daemons on these hosts must know of a suspicion, since this daemon saw a
    /// server end. Returns those that are still to be told. Those that told this daemon know of it.
    pub fn begin(
        &mut self,
        now: Time,
        fingerprint: Digest,
        hosts: BTreeSet<Name>,
    ) -> BTreeSet<Name> {
        let exchange = self.exchange(now, fingerprint);
        let unaware = &hosts - &exchange.heard;
        let untold = &unaware - &exchange.told;
        exchange.told.extend(untold.iter().cloned());
        if !unaware.is_empty() {
            let until = now.after(HOLD_MAX);
            self.unconfirmed.insert(fingerprint, (until, unaware));
        }
        untold
    }

    /// Records that the daemon on a host told of a suspicion. Returns whether it
    /// must be told in return, since it may wait for that.
    pub fn hear(&mut self, now: Time, fingerprint: Digest, host: &Name) -> bool {
        let exchange = self.exchange(now, fingerprint);
        exchange.heard.insert(host.clone());
        exchange.told.insert(host.clone())
    }

    /// Forgets a suspicion that was cleared or has become a quarantine.
    pub fn forget(&mut self, fingerprint: &Digest) {
        self.exchanges.remove(fingerprint);
    }

    fn exchange(&mut self, now: Time, fingerprint: Digest) -> &mut Exchange {
        self.exchanges
            .retain(|_, exchange| exchange.expires_at > now);
        let exchange = self.exchanges.entry(fingerprint);
        exchange.or_insert_with(|| Exchange {
            expires_at: now.after(STANDING_TTL),
            told: BTreeSet::new(),
            heard: BTreeSet::new(),
        })
    }

    /// Holds a failure back if a suspicion isn't confirmed; otherwise gives it back.
    pub fn hold(&mut self, now: Time, reply: Reply) -> Option<Reply> {
        if self.unconfirmed.is_empty() {
            return Some(reply);
        }
        self.held.push((now.after(HOLD_MAX), reply));
        None
    }

    /// Records that the daemon on a host knows of a suspicion.
    pub fn confirm(&mut self, fingerprint: &Digest, host: &Name) {
        if let Some((_, hosts)) = self.unconfirmed.get_mut(fingerprint) {
            hosts.remove(host);
        }
    }

    /// Failures that need not be held back any longer.
    pub fn release(&mut self, now: Time) -> Vec<Reply> {
        self.unconfirmed
            .retain(|_, (until, hosts)| *until > now && !hosts.is_empty());
        let confirmed = self.unconfirmed.is_empty();
        let due = |(until, _): &mut (Time, Reply)| confirmed || *until <= now;
        let released = self.held.extract_if(.., due);
        released.map(|(_, reply)| reply).collect()
    }
}
