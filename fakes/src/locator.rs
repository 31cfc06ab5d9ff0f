//! Finds out which process is at the other end of a connection, for all stand-ins of a run.
//!
//! Hosts that are cut off try again and again, and a change of the cuts concerns all open
//! connections at once. One task answers all questions that came up meanwhile with one look at the
//! system's tables, so that the stand-ins leave the processor to the programs under test.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::origin;

/// Pause between two looks at the system's tables.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// Questions that may wait for the next look.
const QUESTIONS_MAX: usize = 1_024;

/// A question for the one among these processes that opened the connection from `peer`.
struct Question {
    pids: Vec<u32>,
    peer: SocketAddr,
    answer: oneshot::Sender<Option<u32>>,
}

/// Asks the task; the task ends with the last of these.
#[derive(Clone)]
pub struct Locator {
    questions: mpsc::Sender<Question>,
}

impl Locator {
    /// Starts the task that answers, on the current runtime.
    pub fn start() -> Locator {
        let (questions, waiting) = mpsc::channel(QUESTIONS_MAX);
        tokio::spawn(answer_all(waiting));
        Locator { questions }
    }

    /// The one among these processes that opened the connection from `peer`, if one did.
    pub async fn opener(&self, pids: Vec<u32>, peer: SocketAddr) -> Option<u32> {
        if pids.is_empty() {
            return None;
        }
        let (answer, answered) = oneshot::channel();
        let question = Question { pids, peer, answer };
        self.questions.send(question).await.ok()?;
        answered.await.ok()?
    }
}

/// Answers questions, all that wait with one look at the system's tables.
async fn answer_all(mut waiting: mpsc::Receiver<Question>) {
    let mut batch = Vec::new();
    while waiting.recv_many(&mut batch, QUESTIONS_MAX).await > 0 {
        let pids = batch.iter().flat_map(|question| &question.pids);
        let mut pids = pids.copied().collect::<Vec<_>>();
        pids.sort_unstable();
        pids.dedup();
        let look = tokio::task::spawn_blocking(move || origin::holders(&pids));
        let holders = look.await.unwrap_or_default();
        for question in batch.drain(..) {
            let holder = holders.get(&question.peer).copied();
            let opener = holder.filter(|pid| question.pids.contains(pid));
            if question.answer.send(opener).is_err() {
                continue; // The connection closed meanwhile.
            }
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}
