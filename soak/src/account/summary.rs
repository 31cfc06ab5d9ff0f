//! What was observed of the accounts of a run, for its report.

use std::collections::BTreeMap;
use std::fmt;

use wagtailbeam_decision::name::Name;

use super::quota::Fullest;

/// What a run with accounts amounted to.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Number of keys that were revoked.
    pub revoked: usize,
    /// Requests that arrived at replicas with an account.
    pub identified: usize,
    /// Requests that were answered with each status.
    pub statuses: BTreeMap<u16, usize>,
    /// The fullest window of each account with a quota.
    pub fullest: BTreeMap<Name, Fullest>,
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (revoked, identified) = (self.revoked, self.identified);
        write!(
            f,
            "{revoked} keys revoked, {identified} requests identified, answers"
        )?;
        for (status, count) in &self.statuses {
            write!(f, " {status}: {count}")?;
        }
        for (account, Fullest { requests, bound }) in &self.fullest {
            write!(f, "; fullest window of {account}: {requests} of {bound:.0}")?;
        }
        Ok(())
    }
}
