//! Writes a voter's records on a separate thread, so that syncing doesn't block the loop.
//!
//! The loops in [`crate::node`] and [`crate::voter`] send [`Command`]s and receive [`Report`]s.

use std::time::Duration;

use tokio::sync::mpsc;
use wagtailbeam_decision::voter::Record;

use crate::event::Event;
use crate::store;
use crate::store::Store;

/// Interval between two attempts at a failed write.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Commands to the writer thread.
pub enum Command {
    /// Append the record with this number; [`Report::Synced`] confirms it.
    Append(u64, Record),
    /// Replace all records by a snapshot of the same state. A failure is logged and the replacement is
    /// skipped.
    Compact(Vec<Record>),
    /// Replace all records, including those appended just before.
    Replace(Vec<Record>),
}

/// Events that the writer thread sends to the loop.
pub enum Report {
    /// All records up to this number are synced.
    Synced(u64),
    /// The log has grown large enough to be replaced; the loop should send [`Command::Compact`].
    CompactionDue,
    /// The disk refuses a write, which is repeated until it succeeds; [`Report::Regained`] follows then.
    Failing,
    /// The disk took the write that it had refused.
    Regained,
    /// A write failed that can't be repeated, and the writer thread has stopped.
    Failed(store::Error),
}

/// Starts the writer thread. Commands that are waiting at the same time share one sync. The
/// thread ends when the returned sender is dropped.
pub fn write_in_background(
    mut store: Store,
    reports: mpsc::Sender<Report>,
) -> mpsc::UnboundedSender<Command> {
    let (commands, mut queue) = mpsc::unbounded_channel();
    tokio::task::spawn_blocking(move || {
        while let Some(first) = queue.blocking_recv() {
            let mut batch = vec![first];
            while let Ok(command) = queue.try_recv() {
                batch.push(command);
            }
            if let Err(error) = write_batch(&mut store, batch, &reports) {
                drop(reports.blocking_send(Report::Failed(error)));
                return;
            }
        }
    });
    commands
}

/// Executes a batch of commands in order and reports the number of its last record.
fn write_batch(
    store: &mut Store,
    batch: Vec<Command>,
    reports: &mpsc::Sender<Report>,
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
                write_until_done(reports, || store.append(&earlier))?;
                compact(store, &snapshot);
            }
            Command::Replace(snapshot) => {
                records.clear();
                write_until_done(reports, || store.compact(&snapshot))?;
            }
        }
    }
    if !records.is_empty() {
        write_until_done(reports, || store.append(&records))?;
    }
    if let Some(number) = last_number {
        drop(reports.blocking_send(Report::Synced(number)));
    }
    if store.is_compaction_due() {
        drop(reports.blocking_send(Report::CompactionDue));
    }
    Ok(())
}

/// Repeats a write until the disk takes it or the loop has ended.
fn write_until_done(
    reports: &mpsc::Sender<Report>,
    mut write: impl FnMut() -> store::Result<()>,
) -> store::Result<()> {
    let mut failing = false;
    loop {
        match write() {
            Ok(()) if failing => {
                Event::DiskRecovered.log("");
                drop(reports.blocking_send(Report::Regained));
                return Ok(());
            }
            Err(error @ store::Error::Io { .. }) if !reports.is_closed() => {
                if !failing {
                    Event::DiskFailed.log(&error.to_string());
                    drop(reports.blocking_send(Report::Failing));
                }
                failing = true;
                std::thread::sleep(RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}

/// Compacts the store; a failure is logged and not repeated.
fn compact(store: &mut Store, snapshot: &[Record]) {
    match store.compact(snapshot) {
        Ok(()) => Event::StateCompacted.log(""),
        Err(error) => Event::DiskFailed.log(&error.to_string()),
    }
}
