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
    /// Replace all records by a snapshot of the same state. Under [`Policy::Retry`] a failure is
    /// logged and the replacement is skipped.
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
    /// A write failed, and the writer thread has stopped.
    Failed(store::Error),
}

/// What the writer thread does when a write fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// Report the failure and stop; used in groups with a settings file.
    Stop,
    /// Log the failure and repeat the write until it succeeds, except for
    /// [`Command::Compact`], which is skipped; used in discovered tiers.
    Retry,
}

/// Starts the writer thread. Commands that are waiting at the same time share one sync. The
/// thread ends when the returned sender is dropped.
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

/// Executes a batch of commands in order and reports the number of its last record.
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

/// Writes once, or until the write succeeds, depending on the policy.
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

/// Compacts the store. Under [`Policy::Retry`] a failure is logged and not repeated.
fn compact(store: &mut Store, snapshot: &[Record], policy: Policy) -> store::Result<()> {
    match store.compact(snapshot) {
        Ok(()) => Event::StateCompacted.log(""),
        Err(error) if policy == Policy::Retry => Event::DiskFailed.log(&error.to_string()),
        Err(error) => return Err(error),
    }
    Ok(())
}
