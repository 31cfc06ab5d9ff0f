//! What a server's answer proves of the request that it came for.
//!
//! Load pattern: servers in trouble send answers late, twice, to other requests, or bytes that belong
//! to no request at all, on connections that are in use again. A request that may not be repeated goes
//! to a second server only if the first one provably did not run it, so every answer is judged here
//! before anything that it says is believed.

/// Whose answer it is, by the identifier that servers echo.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Identity {
    /// It names the request.
    Own,
    /// It names another request.
    Foreign,
    /// It names no request, although its server names those that it answers.
    Missing,
    /// It names no request, and its server is not known to name any.
    Unnamed,
}

/// What an answer says of the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Evidence {
    /// Whose answer it is.
    pub identity: Identity,
    /// Whether it states that the request did not run.
    pub not_run: bool,
    /// Whether its status is one of success.
    pub success: bool,
}

/// What follows from an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Proof {
    /// Nothing: it is no answer to the request, or contradicts itself. The request may have run.
    Nothing,
    /// The request did not run at this server, and will not.
    NotRun,
    /// The server answered. The request may have run.
    Answered,
}

impl Evidence {
    /// What follows from the answer. Its status alone never proves that the request did not run, and
    /// no statement counts in an answer that does not name the request.
    pub fn proof(self) -> Proof {
        match (self.identity, self.not_run) {
            (Identity::Foreign | Identity::Missing, _) => Proof::Nothing,
            (Identity::Own, true) if self.success => Proof::Nothing,
            (Identity::Own, true) => Proof::NotRun,
            (Identity::Own | Identity::Unnamed, _) => Proof::Answered,
        }
    }
}
