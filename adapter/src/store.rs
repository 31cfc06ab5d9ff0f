//! A voter's state on disk: a snapshot and a log of records, synced.
//!
//! Records are written in batches: length, CRC-32 and postcard form. A batch is
//! synced before the next one is written, so a torn batch at the end of the log
//! was never acknowledged and is cut, and a bad batch before a good one is
//! refused. A log belongs to the snapshot of its generation.

use std::fs::File;
use std::fs::OpenOptions;
use std::io::Read;
use std::io::Seek;
use std::io::SeekFrom;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use snafu::ResultExt;
use snafu::Snafu;
use wagtailbeam_decision::voter::Record;

/// Bytes before a batch: length and checksum.
const HEAD_BYTES: usize = 8;

/// Largest batch, in bytes.
const BATCH_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Most records of one batch.
const BATCH_RECORDS: usize = 256;

/// Size from which a log is worth compacting, in bytes.
const LOG_MIN_BYTES: u64 = 1024 * 1024;

/// Multiple of the snapshot's size from which a log is compacted.
const LOG_FACTOR: u64 = 4;

/// Why the store can't be used.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A file can't be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    Io {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// Another process uses the folder.
    #[snafu(display("{}: another daemon uses this data folder", path.display()))]
    Locked {
        /// The lock file.
        path: PathBuf,
    },
    /// The folder holds state already.
    #[snafu(display("{}: holds state already; a replaced voter must not be formatted", path.display()))]
    Formatted {
        /// The folder.
        path: PathBuf,
    },
    /// An acknowledged record is damaged.
    #[snafu(display(
        "{}: damaged at byte {offset} before good records; \
         move the data folder away to have the voter repaired from the others",
        path.display()
    ))]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Where the bad record begins.
        offset: usize,
    },
    /// A record can't be encoded.
    #[snafu(display("codec: {source}"))]
    Codec {
        /// The cause.
        source: postcard::Error,
    },
}

/// A result of the store.
pub type Result<T> = std::result::Result<T, Error>;

/// An open data folder.
pub struct Store {
    folder: PathBuf,
    generation: u64,
    log: File,
    log_bytes: u64,
    snapshot_bytes: u64,
    torn: bool,
    _lock: File,
}

impl Store {
    /// Opens `folder`, creating it if need be, and reads its records.
    pub fn open(folder: &Path) -> Result<(Store, Vec<Record>)> {
        std::fs::create_dir_all(folder).context(IoSnafu { path: folder })?;
        let lock = lock(&folder.join("lock"))?;
        let generation = newest_generation(folder)?;
        let mut records = Vec::new();
        let mut snapshot_bytes = 0;
        if generation > 0 {
            let path = folder.join(snapshot_name(generation));
            let (read, good) = read_records(&path)?;
            let size = std::fs::metadata(&path)
                .context(IoSnafu { path: &path })?
                .len();
            if good != size {
                return DamagedSnafu {
                    path,
                    offset: good as usize,
                }
                .fail();
            }
            records = read;
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
        let (read, good) = read_records(&path)?;
        records.extend(read);
        log.set_len(good).context(IoSnafu { path: &path })?;
        log.seek(SeekFrom::Start(good))
            .context(IoSnafu { path: &path })?;
        log.sync_all().context(IoSnafu { path: &path })?;
        sync_folder(folder)?;
        remove_others(folder, generation);
        let folder = folder.to_owned();
        let store = Store {
            folder,
            generation,
            log,
            log_bytes: good,
            snapshot_bytes,
            torn: false,
            _lock: lock,
        };
        Ok((store, records))
    }

    /// Writes the first state of a new voter into an empty folder.
    pub fn format(folder: &Path, records: &[Record]) -> Result<()> {
        let (mut store, old) = Store::open(folder)?;
        if !old.is_empty() {
            return FormattedSnafu { path: folder }.fail();
        }
        store.compact(records)
    }

    /// Appends records and syncs them. After an error nothing is appended, and
    /// the same call may be tried again.
    pub fn append(&mut self, records: &[Record]) -> Result<()> {
        let bytes = encode(records)?;
        let path = self.folder.join(log_name(self.generation));
        if std::mem::replace(&mut self.torn, true) {
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
        self.torn = false;
        self.log_bytes += bytes.len() as u64;
        Ok(())
    }

    /// Whether the log has grown enough to be replaced by a snapshot.
    pub fn wants_compaction(&self) -> bool {
        self.log_bytes >= LOG_MIN_BYTES.max(self.snapshot_bytes * LOG_FACTOR)
    }

    /// Bytes of the log.
    pub fn log_bytes(&self) -> u64 {
        self.log_bytes
    }

    /// Replaces snapshot and log by a snapshot of `records`, which must give the
    /// state after all records appended so far.
    pub fn compact(&mut self, records: &[Record]) -> Result<()> {
        let bytes = encode(records)?;
        let generation = self.generation + 1;
        let log_path = self.folder.join(log_name(generation));
        let log = File::create(&log_path).context(IoSnafu { path: &log_path })?;
        log.sync_all().context(IoSnafu { path: &log_path })?;
        let path = self.folder.join("snapshot.new");
        let mut file = File::create(&path).context(IoSnafu { path: &path })?;
        file.write_all(&bytes).context(IoSnafu { path: &path })?;
        file.sync_all().context(IoSnafu { path: &path })?;
        let target = self.folder.join(snapshot_name(generation));
        std::fs::rename(&path, &target).context(IoSnafu { path: &target })?;
        sync_folder(&self.folder)?;
        self.generation = generation;
        self.log = log;
        self.log_bytes = 0;
        self.torn = false;
        self.snapshot_bytes = bytes.len() as u64;
        remove_others(&self.folder, generation);
        Ok(())
    }
}

fn snapshot_name(generation: u64) -> String {
    format!("snapshot.{generation}")
}

fn log_name(generation: u64) -> String {
    format!("log.{generation}")
}

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

fn names(folder: &Path) -> Result<Vec<String>> {
    let entries = std::fs::read_dir(folder).context(IoSnafu { path: folder })?;
    let names = entries
        .flatten()
        .filter_map(|entry| entry.file_name().into_string().ok());
    Ok(names.collect())
}

fn newest_generation(folder: &Path) -> Result<u64> {
    let names = names(folder)?;
    let numbers = names
        .iter()
        .filter_map(|name| name.strip_prefix("snapshot.")?.parse().ok());
    Ok(numbers.max().unwrap_or_default())
}

/// Removes files of other generations; what can't be removed is left.
fn remove_others(folder: &Path, generation: u64) {
    let keep = [
        snapshot_name(generation),
        log_name(generation),
        "lock".to_owned(),
    ];
    for name in names(folder).unwrap_or_default() {
        let ours = name.starts_with("snapshot.") || name.starts_with("log.");
        if ours && !keep.contains(&name) {
            drop(std::fs::remove_file(folder.join(name)));
        }
    }
}

fn sync_folder(folder: &Path) -> Result<()> {
    let handle = File::open(folder).context(IoSnafu { path: folder })?;
    handle.sync_all().context(IoSnafu { path: folder })
}

fn encode(records: &[Record]) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    for batch in records.chunks(BATCH_RECORDS) {
        let payload = postcard::to_stdvec(batch).context(CodecSnafu)?;
        bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
        bytes.extend_from_slice(&payload);
    }
    Ok(bytes)
}

/// Reads the records of a file up to the first that is not whole, and the number
/// of bytes they take. A missing file is empty.
fn read_records(path: &Path) -> Result<(Vec<Record>, u64)> {
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
    let later = (offset + 1..bytes.len()).any(|at| decode(&bytes[at..]).is_some());
    if later {
        return DamagedSnafu { path, offset }.fail();
    }
    Ok((records, offset as u64))
}

/// The batch at the start of `bytes` and its size, if it is whole.
fn decode(bytes: &[u8]) -> Option<(Vec<Record>, usize)> {
    let (head, rest) = bytes.split_at_checked(HEAD_BYTES)?;
    let (length, checksum) = head.split_at(HEAD_BYTES / 2);
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
    Some((batch, HEAD_BYTES + length))
}
