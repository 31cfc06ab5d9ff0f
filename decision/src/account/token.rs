//! Messages between entry hosts about the tokens of accounts' quotas.
//!
//! The types are serialized by position.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Span;
use crate::name::Name;

/// Identifies a request for tokens at the host that sent it.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct TokenId(pub u64);

/// Asks a home for tokens.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Request {
    /// Identifies the request; the reply repeats it.
    pub id: TokenId,
    /// Name of the account.
    pub account: Name,
    /// Most tokens that the sender can use. Zero asks whether the voters confirm the receiver.
    pub wanted: u32,
}

/// Answers a request for tokens.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Reply {
    /// The request that is answered.
    pub id: TokenId,
    /// What the home grants.
    pub outcome: Outcome,
}

/// What a home grants.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// This many tokens, at least one.
    #[display("granted")]
    Granted(u32),
    /// None.
    #[display("empty")]
    Empty(Wait),
    /// The receiver is not a home of the account, may not be the only one in its domain, or knows
    /// no quota of the account.
    #[display("unknown")]
    Unknown,
    /// The voters have not confirmed the sender's view for some time; only sent to hosts that ask
    /// for no tokens.
    #[display("unconfirmed")]
    Unconfirmed,
}

/// When an empty bucket holds tokens again.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Wait {
    /// Time until one more caller finds a token, behind those that were told to come back.
    pub turn: Span,
    /// Time until the next token.
    pub next: Span,
}
