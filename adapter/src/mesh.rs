//! Messages between the processes of a tier with discovered hosts, by address.

use std::net::SocketAddr;

use tokio::net::TcpListener;
use tokio::sync::mpsc;
use wagtailbeam_decision::feed::Message;
use wagtailbeam_decision::name::Name;

use crate::peer;
use crate::peer::Links;
use crate::wire::Key;

/// Reports waiting for the loop at most.
const CHANNEL_MAX: usize = 4_096;

/// What the connections tell the loop.
pub type Report = peer::Report<Message>;

/// What follows from a report.
#[derive(Debug)]
pub enum News {
    /// A message came from a process.
    Message(SocketAddr, Box<Message>),
    /// A process can't be reached, or its connection ended.
    Lost(SocketAddr),
    /// A message to a process was not sent.
    Unsent(Box<Message>),
    /// Nothing.
    Nothing,
}

/// Connections to the other processes.
pub struct Mesh {
    links: Links<Message>,
}

impl Mesh {
    /// Takes connections at `listener`, which is bound to `address`. All processes
    /// share the same key; there is none to tell them apart by.
    pub fn open(address: SocketAddr, listener: TcpListener) -> (Mesh, mpsc::Receiver<Report>) {
        let key = Key::new(b"");
        let (reports, received) = mpsc::channel(CHANNEL_MAX);
        tokio::spawn(peer::listen(listener, key.clone(), reports.clone()));
        let links = Links::new(name_of(address), key, reports);
        (Mesh { links }, received)
    }

    /// Sends a message; one that can't be sent is lost and logged.
    pub fn send(&mut self, to: SocketAddr, message: Message) {
        if self.links.send(&name_of(to), to, message).is_some() {
            tracing::debug!(%to, "the queue of messages to a process is full");
        }
    }

    /// Takes a report.
    pub fn take(&mut self, report: Report) -> News {
        match report {
            peer::Report::Message(from, message) => match from.parse() {
                Ok(from) => News::Message(from, Box::new(message)),
                Err(_) => News::Nothing,
            },
            peer::Report::Refused(host) | peer::Report::Lost(host) => match host.parse() {
                Ok(host) => News::Lost(host),
                Err(_) => News::Nothing,
            },
            peer::Report::Closed(host, address) => {
                self.links.remove_closed(&host, address);
                News::Lost(address)
            }
            peer::Report::Unsent(_, message) => News::Unsent(Box::new(message)),
            peer::Report::Connected(_) => News::Nothing,
        }
    }
}

fn name_of(address: SocketAddr) -> Name {
    Name::from(address.to_string())
}
