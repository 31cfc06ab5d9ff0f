//! What a server said that keeps requests away from it: that it is draining, or for how long it
//! wants none.
//!
//! The [`Limiter`](crate::limiter::Limiter) of an owned replica keeps to it. While another daemon
//! owns the replica, the owner role keeps it as a [`Silence`].

use crate::clock::Span;
use crate::clock::Time;
use crate::exchange::Exchange;
use crate::name::Name;

/// Time after which a server that reported draining, and whose end was not seen, is tried again.
pub(crate) const DRAIN_MAX: Span = Span::from_secs(600);

/// What a server said that keeps requests away from it, to be kept while another daemon owns it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Silence {
    /// Until when it gets none because it is draining; absent if it isn't.
    pub(crate) draining_until: Option<Time>,
    /// Until when it wants none.
    pub(crate) paused_until: Time,
    /// Boot identifier of the run that said so, if known.
    pub(crate) boot: Option<Name>,
}

impl Silence {
    /// Adds what a late answer says, after this daemon gave the server up.
    pub fn record(&mut self, now: Time, exchange: &Exchange) {
        let Exchange::Answered {
            boot,
            draining,
            pause,
            ..
        } = exchange
        else {
            return;
        };
        if boot.is_some() && self.boot.is_some() && *boot != self.boot {
            *self = Silence::default();
        }
        self.boot = boot.clone().or(self.boot.take());
        if *draining && self.draining_until.is_none() {
            self.draining_until = Some(now.after(DRAIN_MAX));
        }
        if let Some(pause) = pause {
            self.paused_until = self.paused_until.max(now.after(*pause));
        }
    }
}
