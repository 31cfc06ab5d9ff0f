use bytes::Bytes;
use wagtailbeam_decision::merge::RECORD_BYTES;
use wagtailbeam_decision::merge::greatest;

use crate::check;

#[test]
fn greatest_equals_sorting_all_records_and_truncating() {
    fn property(parts: Vec<Vec<u8>>, top: u8) -> bool {
        let top = usize::from(top % 24);
        let repeated = parts.iter().map(|part| part.repeat(5));
        let parts = repeated.map(Bytes::from).collect::<Vec<_>>();
        let chunks = parts
            .iter()
            .flat_map(|part| part.chunks_exact(RECORD_BYTES));
        let mut all = chunks.map(<[u8]>::to_vec).collect::<Vec<_>>();
        all.sort();
        all.reverse();
        all.truncate(top);
        greatest(&parts, top) == all.concat()
    }
    check(property as fn(Vec<Vec<u8>>, u8) -> bool, 500, 40);
}

#[test]
fn equal_records_are_kept_and_a_remainder_is_dropped() {
    let part = Bytes::from([[7; RECORD_BYTES].as_slice(), &[9; 5]].concat());
    let merged = greatest(&[part.clone(), part], 5);
    assert_eq!(merged, [7; 2 * RECORD_BYTES]);
}
