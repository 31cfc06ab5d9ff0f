//! A voter's state on disk: a snapshot and a log of records.
//!
//! The folder holds `lock`, `snapshot.N` and `log.N`, where N is the generation; a log continues
//! the snapshot of its generation. Records are written in batches of length, CRC-32 and postcard
//! payload. Each append is synced before the next one is written. What follows the last valid
//! batch of the log is therefore taken for an append that was never acknowledged, and is
//! discarded, while an invalid batch before a valid one means damage and is an error.
//!
//! A batch whose payload is longer than 16 MiB counts as invalid when it is read, so records are
//! written in batches of at most that length. A single record that is longer is refused.
//!
//! [`crate::disk`] writes to the store on its own thread.

use std::fs::File;
use std::fs::OpenOptions;
use std::io::Seek;
use std::io::SeekFrom;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use snafu::ResultExt;
use wagtailbeam_decision::voter::Record;

use error::DamagedSnafu;
use error::FormattedSnafu;
use error::IoSnafu;
use error::LockedSnafu;

mod batch;
mod error;

pub use error::Error;
pub use error::Result;

/// Smallest log that is compacted, in bytes.
const COMPACTION_MIN_BYTES: u64 = 1024 * 1024;

/// A log is compacted once it is this many times as large as the snapshot.
const COMPACTION_FACTOR: u64 = 4;

/// Time after a failed compaction before the next one is due.
const COMPACTION_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// File name of a snapshot that is not complete yet.
const NEW_SNAPSHOT: &str = "snapshot.new";

/// An open data folder, locked against other processes.
pub struct Store {
    folder: PathBuf,
    generation: u64,
    log: File,
    log_bytes: u64,
    snapshot_bytes: u64,
    /// Whether the latest append failed and may have left part of a batch in the log.
    has_partial_batch: bool,
    /// Whether a new snapshot was renamed into place and the folder has not been synced since.
    is_folder_unsynced: bool,
    /// When a compaction last failed, unless one succeeded since.
    compaction_failed_at: Option<Instant>,
    /// Syncs the folder.
    sync: fn(&Path) -> Result<()>,
    _lock: File,
}

impl Store {
    /// Opens `folder`, creating it if necessary, and reads its records: the snapshot's, then the
    /// log's.
    ///
    /// # Errors
    ///
    /// Returns an error if another process has the folder open, if a snapshot or log is damaged,
    /// or if the file system fails.
    pub fn open(folder: &Path) -> Result<(Store, Vec<Record>)> {
        std::fs::create_dir_all(folder).context(IoSnafu { path: folder })?;
        let lock = lock(&folder.join("lock"))?;
        let generation = newest_generation(folder)?;
        let mut records = Vec::new();
        let mut snapshot_bytes = 0;
        if generation > 0 {
            let path = folder.join(snapshot_name(generation));
            let (file_records, valid_bytes) = batch::read_file(&path)?;
            let size = std::fs::metadata(&path)
                .context(IoSnafu { path: &path })?
                .len();
            if valid_bytes != size {
                return DamagedSnafu {
                    path,
                    offset: valid_bytes as usize,
                }
                .fail();
            }
            records = file_records;
            snapshot_bytes = size;
        }
        let path = folder.join(log_name(generation));
        let options = OpenOptions::new()
            .create(true)
            .truncate(false)
            .read(true)
            .write(true)
            .clone();
        let mut log = options.open(&path).context(IoSnafu { path: &path })?;
        let (file_records, valid_bytes) = batch::read_file(&path)?;
        records.extend(file_records);
        log.set_len(valid_bytes).context(IoSnafu { path: &path })?;
        log.seek(SeekFrom::Start(valid_bytes))
            .context(IoSnafu { path: &path })?;
        log.sync_all().context(IoSnafu { path: &path })?;
        sync_folder(folder)?;
        remove_other_generations(folder, generation);
        let folder = folder.to_owned();
        let store = Store {
            folder,
            generation,
            log,
            log_bytes: valid_bytes,
            snapshot_bytes,
            has_partial_batch: false,
            is_folder_unsynced: false,
            compaction_failed_at: None,
            sync: sync_folder,
            _lock: lock,
        };
        Ok((store, records))
    }

    /// Replaces the function that syncs the folder, to inject its failure.
    pub fn with_sync(mut self, sync: fn(&Path) -> Result<()>) -> Store {
        self.sync = sync;
        self
    }

    /// Writes the initial state of a new voter into an empty folder.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Formatted`] if the folder holds records already, and the errors of
    /// [`Store::open`].
    pub fn format(folder: &Path, records: &[Record]) -> Result<()> {
        let (mut store, existing) = Store::open(folder)?;
        if !existing.is_empty() {
            return FormattedSnafu { path: folder }.fail();
        }
        store.compact(records)
    }

    /// Appends records and syncs them. After an error the records don't count as appended, and
    /// the same call may be tried again: the next append first cuts off the partial batch.
    pub fn append(&mut self, records: &[Record]) -> Result<()> {
        let bytes = batch::encode_all(records)?;
        self.sync_snapshot()?;
        let path = self.folder.join(log_name(self.generation));
        if std::mem::replace(&mut self.has_partial_batch, true) {
            self.log
                .set_len(self.log_bytes)
                .context(IoSnafu { path: &path })?;
            self.log
                .seek(SeekFrom::Start(self.log_bytes))
                .context(IoSnafu { path: &path })?;
        }
        self.log
            .write_all(&bytes)
            .context(IoSnafu { path: &path })?;
        self.log.sync_data().context(IoSnafu { path: &path })?;
        self.has_partial_batch = false;
        self.log_bytes += bytes.len() as u64;
        Ok(())
    }

    /// Whether the log has grown large enough to be replaced by a snapshot, and no attempt failed
    /// shortly before.
    pub fn is_compaction_due(&self) -> bool {
        let failed_at = self.compaction_failed_at;
        let paused = failed_at.is_some_and(|at| at.elapsed() < COMPACTION_RETRY_INTERVAL);
        let is_large =
            self.log_bytes >= COMPACTION_MIN_BYTES.max(self.snapshot_bytes * COMPACTION_FACTOR);
        is_large && !paused
    }

    /// Size of the log in bytes, without a partial batch.
    pub fn log_bytes(&self) -> u64 {
        self.log_bytes
    }

    /// Replaces snapshot and log by a new snapshot of `records`, which must yield the same state
    /// as all records appended so far. Until the new snapshot is renamed into place, the old
    /// generation stays valid. From then on it may be what the next start reads, so records are
    /// appended to the new log only, after the folder was synced. If the snapshot can't be put in
    /// place, its files are removed, so that they don't take the last room of the disk.
    pub fn compact(&mut self, records: &[Record]) -> Result<()> {
        let bytes = batch::encode_all(records)?;
        let generation = self.generation + 1;
        let log = self.place_snapshot(generation, &bytes);
        self.compaction_failed_at = log.is_err().then(Instant::now);
        if log.is_err() {
            drop(std::fs::remove_file(self.folder.join(NEW_SNAPSHOT)));
            drop(std::fs::remove_file(self.folder.join(log_name(generation))));
        }
        self.log = log?;
        self.generation = generation;
        self.log_bytes = 0;
        self.has_partial_batch = false;
        self.snapshot_bytes = bytes.len() as u64;
        self.is_folder_unsynced = true;
        self.sync_snapshot()
    }

    /// Writes the snapshot of a generation with an empty log, which is returned.
    fn place_snapshot(&self, generation: u64, bytes: &[u8]) -> Result<File> {
        let log_path = self.folder.join(log_name(generation));
        let log = File::create(&log_path).context(IoSnafu { path: &log_path })?;
        log.sync_all().context(IoSnafu { path: &log_path })?;
        let new_path = self.folder.join(NEW_SNAPSHOT);
        let mut file = File::create(&new_path).context(IoSnafu { path: &new_path })?;
        file.write_all(bytes).context(IoSnafu { path: &new_path })?;
        file.sync_all().context(IoSnafu { path: &new_path })?;
        let target = self.folder.join(snapshot_name(generation));
        std::fs::rename(&new_path, &target).context(IoSnafu { path: &target })?;
        Ok(log)
    }

    /// Makes the rename of a new snapshot durable, if that is due, and removes the old generation.
    fn sync_snapshot(&mut self) -> Result<()> {
        if self.is_folder_unsynced {
            (self.sync)(&self.folder)?;
            self.is_folder_unsynced = false;
            remove_other_generations(&self.folder, self.generation);
        }
        Ok(())
    }
}

fn snapshot_name(generation: u64) -> String {
    format!("snapshot.{generation}")
}

fn log_name(generation: u64) -> String {
    format!("log.{generation}")
}

/// Locks the folder's lock file; the lock is released when the file is dropped.
fn lock(path: &Path) -> Result<File> {
    let file = File::create(path).context(IoSnafu { path })?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(std::fs::TryLockError::WouldBlock) => LockedSnafu { path }.fail(),
        Err(std::fs::TryLockError::Error(source)) => Err(Error::Io {
            path: path.to_owned(),
            source,
        }),
    }
}

fn file_names(folder: &Path) -> Result<Vec<String>> {
    let entries = std::fs::read_dir(folder).context(IoSnafu { path: folder })?;
    let names = entries
        .flatten()
        .filter_map(|entry| entry.file_name().into_string().ok());
    Ok(names.collect())
}

/// The highest generation of any snapshot in the folder; zero if there is none.
fn newest_generation(folder: &Path) -> Result<u64> {
    let names = file_names(folder)?;
    let numbers = names
        .iter()
        .filter_map(|name| name.strip_prefix("snapshot.")?.parse().ok());
    Ok(numbers.max().unwrap_or_default())
}

/// Removes files of other generations; files that can't be removed are left.
fn remove_other_generations(folder: &Path, generation: u64) {
    let keep = [
        snapshot_name(generation),
        log_name(generation),
        "lock".to_owned(),
    ];
    for name in file_names(folder).unwrap_or_default() {
        let is_store_file = name.starts_with("snapshot.") || name.starts_with("log.");
        if is_store_file && !keep.contains(&name) {
            drop(std::fs::remove_file(folder.join(name)));
        }
    }
}

/// Syncs the folder itself, so that created and renamed files survive a crash.
fn sync_folder(folder: &Path) -> Result<()> {
    let file = File::open(folder).context(IoSnafu { path: folder })?;
    file.sync_all().context(IoSnafu { path: folder })
}
