//! The voter's store after incomplete writes, damage, many changes, and a second open.

#![expect(clippy::unwrap_used, reason = "a failed step is a failed test")]

use std::path::Path;
use std::path::PathBuf;

use wagtailbeam_adapter::store::Error;
use wagtailbeam_adapter::store::Store;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::register::File;
use wagtailbeam_decision::register::Key;
use wagtailbeam_decision::register::Value;
use wagtailbeam_decision::tier::DOCUMENT_MAX_BYTES;
use wagtailbeam_decision::tier::State;
use wagtailbeam_decision::voter::Ballot;
use wagtailbeam_decision::voter::Cell;
use wagtailbeam_decision::voter::Record;
use wagtailbeam_decision::voter::Voter;

/// Length of the text in each accepted file, in bytes.
const TEXT_BYTES: usize = 4_096;

/// An accepted operators' file with this version.
fn record(version: u64) -> Record {
    long_record(version, TEXT_BYTES)
}

/// The same with a text of this length in bytes.
fn long_record(version: u64, bytes: usize) -> Record {
    let text = format!("{version}:{}", "x".repeat(bytes));
    let digest = wagtailbeam_decision::digest::Digest::of(text.as_bytes());
    let file = File {
        version,
        digest,
        text: text.as_str().into(),
        history: Vec::new(),
    };
    let ballot = Ballot {
        round: version,
        voter: 0,
    };
    let value = Value::File(std::sync::Arc::new(file));
    Record::Cell(
        Key::File,
        Cell {
            promised: ballot,
            accepted: Some((ballot, value)),
        },
    )
}

/// Path of the log in a store's folder.
fn log_path(folder: &Path) -> PathBuf {
    let names = std::fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path());
    names
        .into_iter()
        .find(|path| path.to_string_lossy().contains("log."))
        .unwrap()
}

/// A folder with the initial state of a voter.
fn formatted_folder() -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    Store::format(folder.path(), &Voter::format(0, 7)).unwrap();
    folder
}

/// A crash during a write leaves an incomplete batch, which was never acknowledged: opening the
/// store discards that batch and keeps the earlier ones.
#[test]
fn torn_last_batch_is_discarded() {
    let folder = formatted_folder();
    let (mut store, first) = Store::open(folder.path()).unwrap();
    store.append(&[record(1)]).unwrap();
    store.append(&[record(2)]).unwrap();
    drop(store);
    let path = log_path(folder.path());
    let bytes = std::fs::read(&path).unwrap();
    for cut in [1, 100, bytes.len() / 2 - 1] {
        std::fs::write(&path, &bytes[..bytes.len() - cut]).unwrap();
        let (_, records) = Store::open(folder.path()).unwrap();
        assert_eq!(records.len(), first.len() + 1, "{cut} bytes cut");
        std::fs::write(&path, &bytes).unwrap();
    }
}

/// A damaged batch before a valid one may have been acknowledged. Discarding it would lose
/// accepted values, so opening the store fails.
#[test]
fn damage_before_valid_records_is_refused() {
    let folder = formatted_folder();
    let (mut store, _) = Store::open(folder.path()).unwrap();
    store.append(&[record(1)]).unwrap();
    store.append(&[record(2)]).unwrap();
    drop(store);
    let path = log_path(folder.path());
    let intact = std::fs::read(&path).unwrap();
    for offset in [0, 2, 6, 40] {
        let mut bytes = intact.clone();
        bytes[offset] ^= 0x55;
        std::fs::write(&path, &bytes).unwrap();
        let error = Store::open(folder.path()).err().unwrap();
        assert!(
            matches!(error, Error::Damaged { .. }),
            "byte {offset}: {error}"
        );
    }
}

/// A snapshot is complete before its rename, so an invalid one is damage and not an interrupted
/// write.
#[test]
fn damaged_snapshot_is_refused() {
    let folder = formatted_folder();
    let path = folder.path().join("snapshot.1");
    let mut bytes = std::fs::read(&path).unwrap();
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    std::fs::write(&path, bytes).unwrap();
    assert!(matches!(
        Store::open(folder.path()),
        Err(Error::Damaged { .. })
    ));
}

/// A second format would erase a voter's promises, and two processes would overwrite each
/// other's log.
#[test]
fn second_format_and_second_open_are_refused() {
    let folder = formatted_folder();
    let again = Store::format(folder.path(), &Voter::format(0, 8));
    assert!(matches!(again, Err(Error::Formatted { .. })));
    let _open = Store::open(folder.path()).unwrap();
    assert!(matches!(
        Store::open(folder.path()),
        Err(Error::Locked { .. })
    ));
}

/// Compaction must keep the newest accepted value, and must keep the files on disk small.
#[test]
fn compaction_keeps_newest_value_and_bounds_disk_use() {
    let folder = formatted_folder();
    let (mut store, mut records) = Store::open(folder.path()).unwrap();
    for version in 1..=1_000 {
        store.append(&[record(version)]).unwrap();
        records.push(record(version));
        if store.is_compaction_due() {
            let voter = Voter::open(Time::default(), 0, 3, 1, records.clone());
            records = voter.snapshot();
            store.compact(&records).unwrap();
        }
    }
    drop(store);
    let (_, read) = Store::open(folder.path()).unwrap();
    let voter = Voter::open(Time::default(), 0, 3, 1, read);
    let accepted = voter.accepted(&Key::File).unwrap();
    assert!(matches!(accepted, Value::File(file) if file.version == 1_000));
    let files = std::fs::read_dir(folder.path()).unwrap();
    let bytes = files
        .map(|entry| entry.unwrap().metadata().unwrap().len())
        .sum::<u64>();
    assert!(bytes < 3 * 1_024 * 1_024, "{bytes} bytes on disk");
}

/// Guards against records that are acknowledged and then gone after a restart, because together they
/// are longer than a batch that is read back.
#[test]
fn long_records_of_one_append_are_all_read_back() {
    let folder = formatted_folder();
    let (mut store, first) = Store::open(folder.path()).unwrap();
    let records = (1..=5).map(|version| long_record(version, 4 * 1024 * 1024));
    store.append(&records.collect::<Vec<_>>()).unwrap();
    drop(store);
    let (_, records) = Store::open(folder.path()).unwrap();
    assert_eq!(records.len(), first.len() + 5);
}

/// Guards against the same for a single record: it is refused, and the store goes on.
#[test]
fn a_record_that_cannot_be_read_back_is_refused() {
    let folder = formatted_folder();
    let (mut store, first) = Store::open(folder.path()).unwrap();
    let error = store
        .append(&[long_record(1, 17 * 1024 * 1024)])
        .unwrap_err();
    assert!(matches!(error, Error::TooLong { .. }), "{error}");
    store.append(&[record(2)]).unwrap();
    drop(store);
    let (_, records) = Store::open(folder.path()).unwrap();
    assert_eq!(records.len(), first.len() + 1);
}

/// Guards against records that are acknowledged and then gone after a restart, because they were
/// appended to the old log after a new snapshot was in place whose folder could not be synced.
#[test]
fn records_appended_after_a_failed_sync_of_the_folder_are_read_back() {
    let folder = formatted_folder();
    let (store, first) = Store::open(folder.path()).unwrap();
    let fail = |path: &Path| {
        let (path, source) = (path.to_owned(), std::io::Error::other("sync failed"));
        Err(Error::Io { path, source })
    };
    let mut store = store.with_sync(fail);
    store.append(&[record(1)]).unwrap();
    let snapshot = [first.as_slice(), &[record(1)]].concat();
    assert!(store.compact(&snapshot).is_err());
    assert!(store.append(&[record(2)]).is_err());
    let mut store = store.with_sync(|_| Ok(()));
    store.append(&[record(2)]).unwrap();
    drop(store);
    let (_, records) = Store::open(folder.path()).unwrap();
    assert_eq!(records.len(), first.len() + 2);
}

/// Guards against a limit on configurations beyond what a voter can store.
#[test]
fn the_longest_configuration_is_stored_and_read_back() {
    let folder = formatted_folder();
    let (mut store, _) = Store::open(folder.path()).unwrap();
    let state = State {
        document: vec![b'x'; DOCUMENT_MAX_BYTES].into(),
        ..State::default()
    };
    let value = Value::Tier(std::sync::Arc::new(state));
    let cell = Cell {
        promised: Ballot::default(),
        accepted: Some((Ballot::default(), value)),
    };
    let record = Record::Cell(Key::Tier, cell);
    store.append(std::slice::from_ref(&record)).unwrap();
    drop(store);
    let (_, records) = Store::open(folder.path()).unwrap();
    assert_eq!(records.last(), Some(&record));
}
