//! Homes without tokens, as known to a host that asked them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::account::token::Wait;
use crate::clock::Span;
use crate::clock::Time;
use crate::name::Name;

/// What a home said when it had no token.
#[derive(Clone, Copy, Debug)]
struct Memo {
    next_at: Time,
    turn_at: Time,
    /// Callers refused by this host since; they come back as well.
    refused: u64,
}

/// Homes without tokens, by account.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shortage {
    memos: BTreeMap<(Name, SocketAddr), Memo>,
}

impl Shortage {
    /// Records what a home said.
    pub(crate) fn record(&mut self, now: Time, account: &Name, home: SocketAddr, wait: Wait) {
        let memo = Memo {
            next_at: now.after(wait.next),
            turn_at: now.after(wait.turn),
            refused: 0,
        };
        self.memos.insert((account.clone(), home), memo);
    }

    /// The wait for a home that can't have a token yet; `rate` is the tokens per second that it
    /// gets.
    pub(crate) fn wait(
        &self,
        now: Time,
        account: &Name,
        home: SocketAddr,
        rate: f64,
    ) -> Option<Wait> {
        let memo = self.memos.get(&(account.clone(), home))?;
        let ahead = memo.refused as f64 / rate.max(f64::MIN_POSITIVE) * 1e6;
        let wait = Wait {
            turn: memo.turn_at.after(Span::from_us(ahead as u64)).since(now),
            next: memo.next_at.since(now),
        };
        (wait.next > Span::ZERO).then_some(wait)
    }

    /// Counts a caller that is told to come back when a home has a token.
    pub(crate) fn promise(&mut self, account: &Name, home: SocketAddr) {
        if let Some(memo) = self.memos.get_mut(&(account.clone(), home)) {
            memo.refused += 1;
        }
    }

    /// Forgets everything.
    pub(crate) fn clear(&mut self) {
        self.memos.clear();
    }
}
