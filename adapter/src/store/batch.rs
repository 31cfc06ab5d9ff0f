//! Batches of records in the files of a voter's store: length, CRC-32 and postcard payload.

use std::fs::File;
use std::io::Read;
use std::path::Path;

use snafu::ResultExt;
use wagtailbeam_decision::voter::Record;

use super::error::CodecSnafu;
use super::error::DamagedSnafu;
use super::error::Error;
use super::error::IoSnafu;
use super::error::Result;
use super::error::TooLongSnafu;

/// Size of a batch header (4 bytes of length, 4 bytes of checksum), in bytes.
const BATCH_HEADER_BYTES: usize = 8;

/// Largest payload of a batch, in bytes.
const BATCH_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Most records in one batch.
const BATCH_MAX_RECORDS: usize = 256;

/// Encodes records as consecutive batches.
pub(super) fn encode_all(records: &[Record]) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    for batch in records.chunks(BATCH_MAX_RECORDS) {
        encode(batch, &mut bytes)?;
    }
    Ok(bytes)
}

/// Appends records as one batch, or as several if they are too long for one.
fn encode(records: &[Record], bytes: &mut Vec<u8>) -> Result<()> {
    let payload = postcard::to_stdvec(records).context(CodecSnafu)?;
    let size = payload.len();
    if size > BATCH_MAX_BYTES && records.len() <= 1 {
        return TooLongSnafu { size }.fail();
    }
    if size > BATCH_MAX_BYTES {
        let (first, rest) = records.split_at(records.len() / 2);
        encode(first, bytes)?;
        return encode(rest, bytes);
    }
    bytes.extend_from_slice(&(size as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    bytes.extend_from_slice(&payload);
    Ok(())
}

/// Reads the batches of a file up to the first invalid one. Returns their records and their size
/// in bytes. A missing file counts as empty. A valid batch after an invalid one is an error.
pub(super) fn read_file(path: &Path) -> Result<(Vec<Record>, u64)> {
    let mut bytes = Vec::new();
    match File::open(path) {
        Ok(mut file) => file.read_to_end(&mut bytes).context(IoSnafu { path })?,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => 0,
        Err(source) => {
            return Err(Error::Io {
                path: path.to_owned(),
                source,
            });
        }
    };
    let mut records = Vec::new();
    let mut offset = 0;
    while let Some((batch, size)) = decode(&bytes[offset..]) {
        records.extend(batch);
        offset += size;
    }
    let valid_batch_follows =
        (offset + 1..bytes.len()).any(|start| decode(&bytes[start..]).is_some());
    if valid_batch_follows {
        return DamagedSnafu { path, offset }.fail();
    }
    Ok((records, offset as u64))
}

/// Decodes the batch at the start of `bytes` and returns its records and its size in bytes;
/// `None` if the batch is incomplete, damaged, empty or longer than [`BATCH_MAX_BYTES`].
fn decode(bytes: &[u8]) -> Option<(Vec<Record>, usize)> {
    let (header, rest) = bytes.split_at_checked(BATCH_HEADER_BYTES)?;
    let (length, checksum) = header.split_at(BATCH_HEADER_BYTES / 2);
    let length = u32::from_le_bytes(length.try_into().ok()?) as usize;
    let checksum = u32::from_le_bytes(checksum.try_into().ok()?);
    if length == 0 || length > BATCH_MAX_BYTES {
        return None;
    }
    let payload = rest.get(..length)?;
    if crc32fast::hash(payload) != checksum {
        return None;
    }
    let batch = postcard::from_bytes(payload).ok()?;
    Some((batch, BATCH_HEADER_BYTES + length))
}
