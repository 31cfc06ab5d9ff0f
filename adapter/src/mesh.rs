//! Connections among entry hosts and voters of a tier with discovered hosts.
//!
//! The entry and voter loops send messages by address, and pass each [`Report`] to
//! [`Mesh::handle`], which returns the [`Event`] to act on.

use std::net::SocketAddr;

use tokio::net::TcpListener;
use tokio::sync::mpsc;
use wagtailbeam_decision::feed::Message;
use wagtailbeam_decision::name::Name;

use crate::peer;
use crate::peer::Links;
use crate::wire::Key;

/// Capacity of the channel to the event loop, in reports.
const CHANNEL_CAPACITY: usize = 4_096;

/// A report of a connection task to the event loop.
pub type Report = peer::Report<Message>;

/// The event that a report stands for.
#[derive(Debug)]
pub enum Event {
    /// A message arrived from the process at this address.
    Message(SocketAddr, Box<Message>),
    /// A connection to or from the process at this address ended, or one to it could not
    /// be opened.
    Lost(SocketAddr),
    /// A message was not sent, because its connection ended or could not be opened.
    Unsent(Box<Message>),
    /// The report needs no action.
    Ignored,
}

/// Connections to the other processes.
pub struct Mesh {
    links: Links<Message>,
}

impl Mesh {
    /// Accepts connections at `listener`, which is bound to `address`. All processes use
    /// the same empty key, because a discovered tier has no keys to tell them apart by.
    pub fn open(address: SocketAddr, listener: TcpListener) -> (Mesh, mpsc::Receiver<Report>) {
        let key = Key::new(b"");
        let (reports, received) = mpsc::channel(CHANNEL_CAPACITY);
        tokio::spawn(peer::listen(listener, key.clone(), reports.clone()));
        let links = Links::new(name_of(address), key, reports);
        (Mesh { links }, received)
    }

    /// Queues a message; if the queue is full, the message is dropped and logged.
    pub fn send(&mut self, to: SocketAddr, message: Message) {
        if self.links.send(&name_of(to), to, message).is_some() {
            tracing::debug!(%to, "message dropped: the queue of its connection is full");
        }
    }

    /// Updates the connections after a report and returns its event.
    pub fn handle(&mut self, report: Report) -> Event {
        match report {
            peer::Report::Message(from, message) => match from.parse() {
                Ok(from) => Event::Message(from, Box::new(message)),
                Err(_) => Event::Ignored,
            },
            peer::Report::Refused(host, _) | peer::Report::Lost(host) => match host.parse() {
                Ok(host) => Event::Lost(host),
                Err(_) => Event::Ignored,
            },
            peer::Report::Closed(host, address) => {
                self.links.remove_closed(&host, address);
                Event::Lost(address)
            }
            peer::Report::Unsent(_, message) => Event::Unsent(Box::new(message)),
            peer::Report::Connected(_) => Event::Ignored,
        }
    }
}

/// Name by which connections identify the process at an address.
fn name_of(address: SocketAddr) -> Name {
    Name::from(address.to_string())
}
