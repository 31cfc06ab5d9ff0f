//! Why a voter's store can't be used.

use std::path::PathBuf;

use snafu::Snafu;

/// Why the store can't be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// A file can't be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    Io {
        /// Path of the file or folder.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Another process uses the folder.
    #[snafu(display("{}: another daemon uses this data folder", path.display()))]
    Locked {
        /// Path of the lock file.
        path: PathBuf,
    },
    /// The folder to be formatted holds state already.
    #[snafu(display("{}: holds state already; a replaced voter must not be formatted", path.display()))]
    Formatted {
        /// Path of the folder.
        path: PathBuf,
    },
    /// A batch that may have been acknowledged is damaged.
    #[snafu(display(
        "{}: damaged at byte {offset} before good records; \
         move the data folder away to have the voter repaired from the others",
        path.display()
    ))]
    Damaged {
        /// Path of the snapshot or log.
        path: PathBuf,
        /// Byte offset at which the damaged batch begins.
        offset: usize,
    },
    /// A record is longer than a batch may be, and could not be read back.
    #[snafu(display("a record of {size} bytes is too long for the store"))]
    TooLong {
        /// Length of the encoded record in bytes.
        size: usize,
    },
    /// A record can't be encoded.
    #[snafu(display("codec: {source}"))]
    Codec {
        /// Error of postcard.
        source: postcard::Error,
    },
}

/// Result of a store operation.
pub type Result<T> = std::result::Result<T, Error>;
