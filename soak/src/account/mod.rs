//! Client accounts in a run: the operator revokes and adds keys and changes quotas beside the other
//! faults, callers send keys, and what replicas get is checked against the declared accounts.

pub mod declaration;
pub mod ledger;
pub mod load;
pub mod quota;
pub mod summary;

/// Account of all callers that this module doesn't start. It has one key, which stays valid, and no
/// quota.
pub const PERMANENT: &str = "permanent";

/// Account without a quota whose keys are revoked one after the other.
pub const ROTATING: &str = "rotating";

/// Account whose quota stays the same.
pub const STEADY: &str = "steady";

/// Account whose quota is lowered and raised.
pub const CHANGING: &str = "changing";

/// Text that all keys contain and nothing else does.
const KEY_MARK: &str = "soak-key";

/// A key that no configuration ever declares.
const UNKNOWN_KEY: &str = "soak-key-never-valid";

/// The key of an account with this number.
fn key(account: &str, number: usize) -> String {
    format!("{KEY_MARK}-{account}-{number}")
}
