//! Connections over which a request was sent.
//!
//! A server may send a second copy of an answer late, where the next answer on the connection is
//! due. The identifier tells to which request it belongs, but all sends of a request have the same
//! one, so that a request goes over each connection once at most.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use derive_more::Display;

/// Identifies a connection within its pool.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
pub struct ConnectionId(pub u64);

/// Connections over which the sends of one request went. Clones share them; as an extension of each
/// HTTP request that is sent, they are known to the pool.
#[derive(Clone, Debug, Default)]
pub struct Carriers(Arc<Mutex<Vec<ConnectionId>>>);

impl Carriers {
    /// Records that the request is sent over a connection.
    pub fn add(&self, connection: ConnectionId) {
        let mut carriers = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        carriers.push(connection);
    }

    /// Whether the request was sent over a connection.
    pub fn contains(&self, connection: ConnectionId) -> bool {
        let carriers = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        carriers.contains(&connection)
    }
}
