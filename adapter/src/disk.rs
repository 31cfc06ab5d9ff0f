//! Writes a voter's records on a thread of its own, so that syncing doesn't
//! block the loop.

use std::time::Duration;

use tokio::sync::mpsc;
use wagtailbeam_decision::voter::Record;

use crate::event::Event;
use crate::store;
use crate::store::Store;

/// Time between two tries on a disk that refuses writes.
const RETRY_EVERY: Duration = Duration::from_millis(100);

/// What is to be written.
pub enum Order {
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
    WantsCompaction,
    /// The disk failed, and nothing more is written.
    Failed(store::Error),
}

/// What follows if the disk refuses a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Trouble {
    /// Stop writing.
    Stop,
    /// Try again until it takes the write.
    Retry,
}

/// Appends and syncs in the background; ends when the orders' channel closes.
pub fn write_in_background(
    mut store: Store,
    reports: mpsc::Sender<Report>,
    trouble: Trouble,
) -> mpsc::UnboundedSender<Order> {
    let (orders, mut waiting) = mpsc::unbounded_channel();
    tokio::task::spawn_blocking(move || {
        while let Some(first) = waiting.blocking_recv() {
            let mut batch = vec![first];
            while let Ok(order) = waiting.try_recv() {
                batch.push(order);
            }
            if let Err(error) = write(&mut store, batch, &reports, trouble) {
                drop(reports.blocking_send(Report::Failed(error)));
                return;
            }
        }
    });
    orders
}

fn write(
    store: &mut Store,
    batch: Vec<Order>,
    reports: &mpsc::Sender<Report>,
    trouble: Trouble,
) -> store::Result<()> {
    let mut records = Vec::new();
    let mut number = None;
    for order in batch {
        match order {
            Order::Append(at, record) => {
                records.push(record);
                number = Some(at);
            }
            Order::Compact(snapshot) => {
                let before = std::mem::take(&mut records);
                insist(trouble, || store.append(&before))?;
                compact(store, &snapshot, trouble)?;
            }
            Order::Replace(snapshot) => {
                records.clear();
                insist(trouble, || store.compact(&snapshot))?;
            }
        }
    }
    if !records.is_empty() {
        insist(trouble, || store.append(&records))?;
    }
    if let Some(number) = number {
        drop(reports.blocking_send(Report::Synced(number)));
    }
    if store.wants_compaction() {
        drop(reports.blocking_send(Report::WantsCompaction));
    }
    Ok(())
}

/// Writes until the disk takes it, if that is wanted.
fn insist(trouble: Trouble, mut write: impl FnMut() -> store::Result<()>) -> store::Result<()> {
    let mut refused = false;
    loop {
        match write() {
            Ok(()) if refused => {
                Event::DiskRegained.log("");
                return Ok(());
            }
            Err(error) if trouble == Trouble::Retry => {
                if !refused {
                    Event::DiskFailed.log(&error.to_string());
                }
                refused = true;
                std::thread::sleep(RETRY_EVERY);
            }
            result => return result,
        }
    }
}

fn compact(store: &mut Store, snapshot: &[Record], trouble: Trouble) -> store::Result<()> {
    match store.compact(snapshot) {
        Ok(()) => Event::Compacted.log(""),
        Err(error) if trouble == Trouble::Retry => Event::DiskFailed.log(&error.to_string()),
        Err(error) => return Err(error),
    }
    Ok(())
}
