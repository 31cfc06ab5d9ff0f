//! Finds out which cut applies to a connection, for all proxies of a run.
//!
//! Hosts that are cut off try again and again, and a change of the cuts concerns all open
//! connections at once. One task answers all questions that came up meanwhile with one look at the
//! system's tables, so that the soak leaves the processor to the programs under test.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use wagtailbeam_fakes::origin;

use crate::proxy::Cut;
use crate::proxy::Cuts;

/// Pause between two looks at the system's tables.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// Questions that may wait for the next look.
const QUESTIONS_MAX: usize = 1_024;

/// A question for the cut that applies to the connection from `peer`.
struct Question {
    cuts: Cuts,
    peer: SocketAddr,
    answer: oneshot::Sender<Option<Cut>>,
}

/// Asks the task; the task ends with the last of these.
#[derive(Clone)]
pub struct Locator {
    questions: mpsc::Sender<Question>,
}

impl Locator {
    /// Starts the task that answers.
    pub fn start() -> Locator {
        let (questions, waiting) = mpsc::channel(QUESTIONS_MAX);
        tokio::spawn(answer_all(waiting));
        Locator { questions }
    }

    /// How the process at the other end of a connection is cut off, if it is.
    pub async fn cut_of(&self, cuts: Cuts, peer: SocketAddr) -> Option<Cut> {
        if cuts.is_empty() {
            return None;
        }
        let (answer, answered) = oneshot::channel();
        let question = Question { cuts, peer, answer };
        self.questions.send(question).await.ok()?;
        answered.await.ok()?
    }
}

/// Answers questions, all that wait with one look at the system's tables.
async fn answer_all(mut waiting: mpsc::Receiver<Question>) {
    let mut batch = Vec::new();
    while waiting.recv_many(&mut batch, QUESTIONS_MAX).await > 0 {
        let pids = batch.iter().flat_map(|question| question.cuts.iter());
        let mut pids = pids.map(|(pid, _)| *pid).collect::<Vec<_>>();
        pids.sort_unstable();
        pids.dedup();
        let look = tokio::task::spawn_blocking(move || origin::holders(&pids));
        let holders = look.await.unwrap_or_default();
        for question in batch.drain(..) {
            let holder = holders.get(&question.peer);
            let mut cuts = question.cuts.iter();
            let cut = cuts.find(|(pid, _)| holder == Some(pid));
            let answer = cut.map(|(_, cut)| *cut);
            if question.answer.send(answer).is_err() {
                continue; // The connection closed meanwhile.
            }
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}
