//! The merged answer of several shards: their greatest records.

use bytes::Bytes;

/// Length of a record, in bytes; a shorter remainder of a part is not a record.
pub const RECORD_BYTES: usize = 16;

/// The `top` greatest records of all `parts`, greatest first, compared byte by
/// byte. Equal records all count.
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
