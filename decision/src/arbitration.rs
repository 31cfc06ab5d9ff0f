//! How a group of daemons handles requests that are suspected of making servers fail.
//!
//! Part of the daemon: adopts and spreads standings, holds failures back until other daemons know
//! of a suspicion, and grants canaries. See [`crate::suspect`] and [`crate::spread`].

use crate::clock::Time;
use crate::daemon::Daemon;
use crate::digest::Digest;
use crate::message::Action;
use crate::message::Message;
use crate::message::Note;
use crate::name::Name;
use crate::placement;
use crate::request::Cause;
use crate::request::Outcome;
use crate::spread;
use crate::suspect::Ruling;
use crate::suspect::Standing;

impl Daemon {
    /// Sends the outcome of a sub-request to its entry daemon. One whose server ended waits until
    /// the other daemons know of the suspicion.
    pub(crate) fn reply_or_hold(&mut self, now: Time, reply: spread::Reply, out: &mut Vec<Action>) {
        let server_failed = matches!(
            reply.outcome,
            Outcome::Failed {
                cause: Cause::ServerFailed,
                ..
            }
        );
        let reply = match server_failed {
            true => self.spread.hold(now, reply),
            false => Some(reply),
        };
        if let Some(reply) = reply {
            self.send_reply(now, reply, out);
        }
    }

    pub(crate) fn send_reply(&mut self, now: Time, reply: spread::Reply, out: &mut Vec<Action>) {
        let spread::Reply {
            to,
            id,
            replica,
            outcome,
        } = reply;
        if to != self.identity.host {
            return self.send(&to, Message::Outcome(id, replica, outcome), out);
        }
        let actions = self.entry.on_outcome(now, id, Some(replica), outcome);
        self.entry_actions(now, actions, out);
    }

    /// Sends the outcomes that need not be held back any longer.
    pub(crate) fn release_replies(&mut self, now: Time, out: &mut Vec<Action>) {
        for reply in self.spread.release(now) {
            self.send_reply(now, reply, out);
        }
    }

    /// Adopts the standing that another daemon tells of. Each daemon that tells of a suspicion is told
    /// the standing here in return, once, which confirms it.
    pub(crate) fn on_standing(
        &mut self,
        now: Time,
        from: Name,
        fingerprint: Digest,
        standing: Standing,
        out: &mut Vec<Action>,
    ) {
        self.spread.confirm(&fingerprint, &from);
        let untold = standing == Standing::Suspect && self.spread.hear(now, fingerprint, &from);
        self.update_standing(now, fingerprint, standing, false, out);
        if untold {
            let known = self.standings.standing(now, &fingerprint);
            let known = known.unwrap_or(standing);
            self.send(&from, Message::Standing(fingerprint, known), out);
        }
        self.release_replies(now, out);
    }

    /// Updates the standing of a request. With `observed_here`, this daemon saw the cause
    /// itself and broadcasts the change.
    pub(crate) fn update_standing(
        &mut self,
        now: Time,
        fingerprint: Digest,
        standing: Standing,
        observed_here: bool,
        out: &mut Vec<Action>,
    ) {
        let changed = self.standings.update(now, fingerprint, standing);
        let suspect = self.standings.standing(now, &fingerprint) == Some(Standing::Suspect);
        if observed_here && suspect {
            self.spread_suspicion(now, fingerprint, out);
        } else if observed_here && changed {
            self.broadcast(&Message::Standing(fingerprint, standing), out);
        }
        if observed_here && changed {
            out.push(Action::Note(Note::Standing(fingerprint, standing)));
        }
        if !suspect {
            self.spread.forget(&fingerprint);
        }
        match standing {
            Standing::Suspect if changed => {
                let actions = self.entry.on_suspected(now, &fingerprint);
                self.entry_actions(now, actions, out);
            }
            Standing::Suspect => {}
            Standing::Cleared => self.end_canary(now, &fingerprint, Ruling::Cleared, out),
            Standing::Quarantined => self.end_canary(now, &fingerprint, Ruling::Quarantined, out),
        }
    }

    /// Tells the other daemons of a suspicion, unless they know of it or were told.
    fn spread_suspicion(&mut self, now: Time, fingerprint: Digest, out: &mut Vec<Action>) {
        let members = self.members.iter().map(|member| member.host.clone());
        let others = members.filter(|host| *host != self.identity.host);
        for host in self.spread.begin(now, fingerprint, others.collect()) {
            let message = Message::Standing(fingerprint, Standing::Suspect);
            self.send(&host, message, out);
        }
    }

    /// Ends the canary of a request and rules on the queries that waited for it.
    pub(crate) fn end_canary(
        &mut self,
        now: Time,
        fingerprint: &Digest,
        ruling: Ruling,
        out: &mut Vec<Action>,
    ) {
        let waiting = self.arbiter.end(fingerprint);
        let rulings = waiting.into_iter().map(|from| (from, ruling)).collect();
        self.deliver_rulings(now, rulings, out);
    }

    /// Host of the daemon that grants canaries for a request, chosen by rendezvous
    /// hashing.
    pub(crate) fn arbiter_host(&self, fingerprint: &Digest) -> Name {
        placement::first_ranked(fingerprint, &self.candidates)
            .unwrap_or_else(|| self.identity.host.clone())
    }

    /// Asks the arbiter of a request for permission to run the query `id` as a canary.
    pub(crate) fn request_canary(
        &mut self,
        now: Time,
        id: u64,
        fingerprint: Digest,
        out: &mut Vec<Action>,
    ) {
        let host = self.arbiter_host(&fingerprint);
        if host == self.identity.host {
            return self.on_canary_request(now, fingerprint, (host, id), out);
        }
        self.send(&host, Message::CanaryRequest(id, fingerprint), out);
    }

    /// Tells the arbiter of a request that its canary ended without a result.
    pub(crate) fn report_inconclusive(
        &mut self,
        now: Time,
        fingerprint: Digest,
        out: &mut Vec<Action>,
    ) {
        let host = self.arbiter_host(&fingerprint);
        if host == self.identity.host {
            let next = self.arbiter.grant_next(now, &fingerprint);
            return self.deliver_rulings(now, next.into_iter().collect(), out);
        }
        self.send(&host, Message::CanaryInconclusive(fingerprint), out);
    }

    /// Passes the canary request of the query `from` to this daemon's arbiter.
    pub(crate) fn on_canary_request(
        &mut self,
        now: Time,
        fingerprint: Digest,
        from: (Name, u64),
        out: &mut Vec<Action>,
    ) {
        let ruling = self
            .arbiter
            .on_request(now, &self.standings, fingerprint, from.clone());
        self.deliver_rulings(
            now,
            ruling.map(|ruling| (from, ruling)).into_iter().collect(),
            out,
        );
    }

    /// Delivers rulings to the queries that asked for them, here or on other hosts.
    pub(crate) fn deliver_rulings(
        &mut self,
        now: Time,
        rulings: Vec<((Name, u64), Ruling)>,
        out: &mut Vec<Action>,
    ) {
        for ((host, query), ruling) in rulings {
            if host == self.identity.host {
                let actions = self.entry.on_ruling(now, query, ruling);
                self.entry_actions(now, actions, out);
            } else {
                self.send(&host, Message::Ruling(query, ruling), out);
            }
        }
    }
}
