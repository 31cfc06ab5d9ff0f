//! Writes a voter's records on a thread of its own, so that syncing doesn't
//! block the loop.

use std::time::Duration;

use tokio::sync::mpsc;
use wagtailbeam_decision::voter::Record;

use crate::event::Event;
use crate::store;
use crate::store::Store;

/// Time between two tries on a disk that refuses writes.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// What is to be written.
pub enum Command {
    /// Append a record, which has this number.
    Append(u64, Record),
    /// Replace all records by a snapshot of the same state; may be put off.
    Compact(Vec<Record>),
    /// Replace all records.
    Replace(Vec<Record>),
}

/// What the loop is told.
pub enum Report {
    /// Records up to this number are synced.
    Synced(u64),
    /// The log has grown enough to be replaced by a snapshot.
    CompactionDue,
    /// The disk failed, and nothing more is written.
    Failed(store::Error),
}

/// What follows if the disk refuses a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// Stop writing.
    Stop,
    /// Try again until it takes the write.
    Retry,
}

/// Appends and syncs in the background; ends when the commands' channel closes.
pub fn write_in_background(
    mut store: Store,
    reports: mpsc::Sender<Report>,
    policy: Policy,
) -> mpsc::UnboundedSender<Command> {
    let (commands, mut queue) = mpsc::unbounded_channel();
    tokio::task::spawn_blocking(move || {
        while let Some(first) = queue.blocking_recv() {
            let mut batch = vec![first];
            while let Ok(command) = queue.try_recv() {
                batch.push(command);
            }
            if let Err(error) = write_batch(&mut store, batch, &reports, policy) {
                drop(reports.blocking_send(Report::Failed(error)));
                return;
            }
        }
    });
    commands
}

fn write_batch(
    store: &mut Store,
    batch: Vec<Command>,
    reports: &mpsc::Sender<Report>,
    policy: Policy,
) -> store::Result<()> {
    let mut records = Vec::new();
    let mut last_number = None;
    for command in batch {
        match command {
            Command::Append(record_number, record) => {
                records.push(record);
                last_number = Some(record_number);
            }
            Command::Compact(snapshot) => {
                let earlier = std::mem::take(&mut records);
                write_with_policy(policy, || store.append(&earlier))?;
                compact(store, &snapshot, policy)?;
            }
            Command::Replace(snapshot) => {
                records.clear();
                write_with_policy(policy, || store.compact(&snapshot))?;
            }
        }
    }
    if !records.is_empty() {
        write_with_policy(policy, || store.append(&records))?;
    }
    if let Some(number) = last_number {
        drop(reports.blocking_send(Report::Synced(number)));
    }
    if store.is_compaction_due() {
        drop(reports.blocking_send(Report::CompactionDue));
    }
    Ok(())
}

/// Writes until the disk takes it, if that is wanted.
fn write_with_policy(
    policy: Policy,
    mut write: impl FnMut() -> store::Result<()>,
) -> store::Result<()> {
    let mut failed = false;
    loop {
        match write() {
            Ok(()) if failed => {
                Event::DiskRecovered.log("");
                return Ok(());
            }
            Err(error) if policy == Policy::Retry => {
                if !failed {
                    Event::DiskFailed.log(&error.to_string());
                }
                failed = true;
                std::thread::sleep(RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}

fn compact(store: &mut Store, snapshot: &[Record], policy: Policy) -> store::Result<()> {
    match store.compact(snapshot) {
        Ok(()) => Event::StateCompacted.log(""),
        Err(error) if policy == Policy::Retry => Event::DiskFailed.log(&error.to_string()),
        Err(error) => return Err(error),
    }
    Ok(())
}
