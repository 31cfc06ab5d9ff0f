//! Connections between simulated machines that lose long messages, are slow, or are read late.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;

use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::feed::Message;

use crate::group::address;

/// A message with its sender and receiver.
type Letter = (SocketAddr, SocketAddr, Message);

/// Faults of the connections, and the messages that arrived and were not handled yet.
#[derive(Default)]
pub struct Links {
    /// Machines that exchange no message longer than this with other machines, in bytes.
    message_max: BTreeMap<SocketAddr, usize>,
    /// Machines that handle messages this long after they arrive.
    lags: BTreeMap<SocketAddr, Span>,
    /// Bytes that each connection carries in a millisecond; absent without a limit.
    bandwidth: Option<usize>,
    /// When each connection has carried what was sent over it so far.
    busy: BTreeMap<(SocketAddr, SocketAddr), Time>,
    /// Bytes sent between machines so far; counted only with a limited bandwidth.
    pub bytes: usize,
    /// Messages that arrived, and when they are handled.
    arrived: VecDeque<(Time, Letter)>,
}

fn length(message: &Message) -> usize {
    postcard::to_stdvec(message).expect("a message").len()
}

impl Links {
    /// Loses all messages between a machine and the others that are longer than `bytes`, as
    /// connections do whose other end reads too slowly.
    pub fn lose_long_messages(&mut self, at: usize, bytes: usize) {
        self.message_max.insert(address(at), bytes);
    }

    /// Makes a machine handle messages this long after they arrive, in order.
    pub fn set_lag(&mut self, at: usize, lag: Span) {
        self.lags.insert(address(at), lag);
    }

    /// Limits the bytes that each connection carries in a millisecond.
    pub fn set_bandwidth(&mut self, bytes_per_ms: usize) {
        self.bandwidth = Some(bytes_per_ms);
    }

    /// Time at which a connection has carried a message that is sent now.
    fn carried(&mut self, now: Time, from: SocketAddr, to: SocketAddr, message: &Message) -> Time {
        let Some(bandwidth) = self.bandwidth else {
            return now;
        };
        let bytes = length(message);
        self.bytes += bytes;
        let busy = self.busy.entry((from, to)).or_insert(now);
        let micros = bytes as u64 * 1_000 / bandwidth as u64;
        *busy = (*busy).max(now).after(Span::from_us(micros));
        *busy
    }

    /// Whether a message between two machines is lost.
    pub fn loses(&self, from: SocketAddr, to: SocketAddr, message: &Message) -> bool {
        let ends = [from, to].into_iter();
        let max = ends.filter_map(|end| self.message_max.get(&end)).min();
        max.is_some_and(|max| length(message) > *max)
    }

    /// Receives a message.
    pub fn push(&mut self, now: Time, from: SocketAddr, to: SocketAddr, message: Message) {
        let lag = self.lags.get(&to).copied().unwrap_or_default();
        let carried = self.carried(now, from, to, &message);
        self.arrived
            .push_back((carried.after(lag), (from, to, message)));
    }

    /// Takes the messages that are to be handled now.
    pub fn take_due(&mut self, now: Time) -> Vec<Letter> {
        let arrived = std::mem::take(&mut self.arrived);
        let (due, later) = arrived
            .into_iter()
            .partition::<Vec<_>, _>(|(due, _)| *due <= now);
        self.arrived = later.into();
        due.into_iter().map(|(_, letter)| letter).collect()
    }
}
