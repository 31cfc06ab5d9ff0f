//! Names of services, shards, hosts, failure domains and callers, as shared immutable
//! strings.

use std::borrow::Borrow;
use std::sync::Arc;

use derive_more::Deref;
use derive_more::Display;
use derive_more::From;
use serde::Deserialize;
use serde::Serialize;

/// Longest name that is accepted, in bytes.
const NAME_MAX_BYTES: usize = 64;

/// The name of a service, shard, host, failure domain or caller. Clones share the string.
///
/// # Examples
///
/// ```
/// use wagtailbeam_decision::name::Name;
///
/// let name = Name::parse("desk-gate").expect("a plain name");
/// assert_eq!(&*name, "desk-gate");
/// assert!(Name::parse("two words").is_none());
/// ```
#[derive(
    Clone,
    Debug,
    Default,
    Deref,
    Deserialize,
    Display,
    Eq,
    From,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[from(&str, String)]
pub struct Name(#[deref(forward)] Arc<str>);

impl Name {
    /// Checks that `text` is a name: 1 to 64 ASCII letters, digits, `-`, `_` and `.`.
    pub fn parse(text: &str) -> Option<Name> {
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        let length_ok = !text.is_empty() && text.len() <= NAME_MAX_BYTES;
        (length_ok && text.chars().all(allowed)).then(|| Name(text.into()))
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}
