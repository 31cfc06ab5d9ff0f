//! A caller's request that has no token yet.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::account::Account;
use crate::account::token::TokenId;
use crate::account::token::Wait;
use crate::clock::Time;

/// A request for tokens under way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ask {
    pub(crate) id: TokenId,
    pub(crate) home: SocketAddr,
    pub(crate) sent_at: Time,
}

/// A caller's request without a token.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) account: Arc<Account>,
    pub(crate) arrived: Time,
    /// Whether the voters confirmed lately that this host's view of the tier is the newest.
    pub(crate) confirmed: bool,
    pub(crate) tried: Vec<SocketAddr>,
    pub(crate) ask: Option<Ask>,
    /// Shortest wait that a home named, and the home.
    pub(crate) empty: Option<(Wait, SocketAddr)>,
}

impl Waiting {
    /// Keeps the shortest wait that a home named.
    pub(crate) fn note_empty(&mut self, wait: Wait, home: SocketAddr) {
        let known = self.empty.is_none_or(|(known, _)| wait < known);
        if known {
            self.empty = Some((wait, home));
        }
    }
}
