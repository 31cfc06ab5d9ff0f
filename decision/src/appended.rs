//! Fields added at the end of a message after its first release.
//!
//! Messages are encoded by position. A process of an older build ignores bytes after the
//! last field that it knows; a message of an older build ends before the new field.

use derive_more::Deref;
use derive_more::From;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;

/// One of the last fields of a message, read as the default value if the message ends before it.
///
/// Only the last fields of a whole message may have this type.
#[derive(Clone, Debug, Default, Deref, Eq, From, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Appended<T>(pub T);

impl<'de, T: Default + Deserialize<'de>> Deserialize<'de> for Appended<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Appended<T>, D::Error> {
        Ok(Appended(T::deserialize(deserializer).unwrap_or_default()))
    }
}
