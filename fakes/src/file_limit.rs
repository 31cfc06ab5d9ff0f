//! A limit on the size of a daemon's files, which stands in for a full disk: a write that exceeds it
//! fails, after the bytes up to the limit were written.

use std::io::Result;
use std::path::Path;
use std::process::Command;

/// Runs a program that a write beyond the limit does not end.
const IGNORE_SIGNAL: &str = "trap '' XFSZ; exec \"$0\" \"$@\"";

/// The command that runs a program whose files may be limited.
pub fn command(program: &Path) -> Command {
    let mut command = Command::new("sh");
    command.args(["-c", IGNORE_SIGNAL]).arg(program);
    command
}

/// Limits the size of the files of the process `pid`, its log included, or lifts the limit.
pub fn set(pid: u32, bytes: Option<u64>) -> Result<()> {
    let limit = bytes.map_or("unlimited".to_owned(), |bytes| bytes.to_string());
    let status = Command::new("prlimit")
        .args(["--pid", &pid.to_string(), &format!("--fsize={limit}:")])
        .status()?;
    match status.success() {
        true => Ok(()),
        false => Err(std::io::Error::other("limiting the size of files failed")),
    }
}
