//! Requests that arrive before this host has a configuration and a list of replicas.
//!
//! They wait in the backlog and start once the host has both; see
//! [`Backlog`](wagtailbeam_decision::load::backlog::Backlog).

use std::sync::Arc;
use std::time::Instant;

use tokio::sync::oneshot;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::load::backlog::Released;

use crate::entry::Driver;
use crate::entry::Origin;
use crate::entry::Pending;
use crate::ingress::Reply;
use crate::ingress::Request;

/// Time that a caller is taken to have left if it names none.
const TIME_LEFT_DEFAULT: Span = Span::from_secs(1);

impl Driver {
    /// Starts a caller's request, or lets it wait until this host is able to serve.
    pub(crate) fn receive(&mut self, id: u64, request: Request, answer: oneshot::Sender<Reply>) {
        let left = request.time_left.unwrap_or(TIME_LEFT_DEFAULT);
        let pending = Pending {
            request: Arc::new(request),
            envelope: None,
            origin: Origin::Caller(answer),
            received_at: Instant::now(),
        };
        self.pending.insert(id, pending);
        let now = self.now();
        if self.is_able() || !self.backlog.push(now, id, left) {
            self.start(id);
        }
    }

    /// Whether this host has a configuration and a list of replicas.
    fn is_able(&self) -> bool {
        self.gateway.catalog().version > 0 && self.gateway.replica_count() > 0
    }

    /// Identifies the account of a request and admits or refuses it.
    fn start(&mut self, id: u64) {
        let Some(mut pending) = self.pending.remove(&id) else {
            return;
        };
        let Some(request) = Arc::into_inner(pending.request) else {
            return tracing::error!(event = 791, request = id, "request started twice");
        };
        let (request, known) = self.identify(request);
        pending.request = Arc::new(request);
        let request = pending.request.clone();
        self.pending.insert(id, pending);
        match known {
            true => self.admit(id, &request),
            false => self.refuse_unknown(id, &request),
        }
    }

    /// Starts the requests that have waited until this host is able to serve, or for long enough.
    pub(crate) fn tick_backlog(&mut self) {
        let now = self.now();
        let released = match self.is_able() {
            true => self.backlog.release(now),
            false => self.backlog.expire(now),
        };
        if let Some(longest) = released.iter().map(|request| request.waited).max() {
            let (count, waited_ms) = (released.len(), longest.as_ms());
            let able = self.is_able();
            tracing::info!(
                event = 726,
                count,
                waited_ms,
                able,
                "waiting requests started"
            );
        }
        for Released { id, .. } in released {
            self.start(id);
        }
    }

    /// Time for which a request has waited at this host.
    pub(crate) fn waited(&self, id: u64) -> Span {
        let pending = self.pending.get(&id);
        let waited = pending.map(|pending| pending.received_at.elapsed());
        Span::from_us(waited.unwrap_or_default().as_micros() as u64)
    }
}
