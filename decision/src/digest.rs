//! BLAKE3 digests of 32 bytes. Text formats hold them as 64 hexadecimal digits, binary
//! formats as bytes.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use serde_with::hex::Hex;
use serde_with::serde_as;

/// A BLAKE3 digest.
#[serde_as]
#[derive(Clone, Copy, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Digest(#[serde_as(as = "serde_with::IfIsHumanReadable<Hex>")] [u8; 32]);

impl Digest {
    /// The digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Digest {
        Digest(*blake3::hash(bytes).as_bytes())
    }

    /// The digest of several parts. Each part is hashed after its length, so that parts
    /// split differently have different digests.
    pub fn of_parts(parts: &[&[u8]]) -> Digest {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Digest(*hasher.finalize().as_bytes())
    }

    /// The first eight bytes as a big-endian number, for rendezvous hashing and for
    /// picking by digest.
    pub fn rank(&self) -> u64 {
        self.0
            .iter()
            .take(8)
            .fold(0, |rank, byte| rank << 8 | u64::from(*byte))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .take(4)
            .try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for Digest {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Digest, Self::Err> {
        const EXPECTED: &str = "expected 64 hexadecimal digits";
        if text.len() != 64 || !text.is_ascii() {
            return Err(EXPECTED);
        }
        let mut bytes = [0; 32];
        for (byte, offset) in bytes.iter_mut().zip((0..64).step_by(2)) {
            *byte = u8::from_str_radix(&text[offset..offset + 2], 16).map_err(|_| EXPECTED)?;
        }
        Ok(Digest(bytes))
    }
}
