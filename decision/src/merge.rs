//! Merges the answers of several shards into their greatest records.

use bytes::Bytes;

/// Length of a record in bytes; a shorter remainder at the end of a part is dropped.
pub const RECORD_BYTES: usize = 16;

/// The `top` greatest records of all `parts` in descending byte order. Equal records are
/// all kept.
pub fn greatest(parts: &[Bytes], top: usize) -> Vec<u8> {
    let records = parts
        .iter()
        .flat_map(|part| part.chunks_exact(RECORD_BYTES));
    let mut records = records.collect::<Vec<_>>();
    let descending = |a: &&[u8], b: &&[u8]| b.cmp(a);
    if records.len() > top && top > 0 {
        records.select_nth_unstable_by(top - 1, descending);
    }
    records.truncate(top);
    records.sort_unstable_by(descending);
    records.concat()
}
