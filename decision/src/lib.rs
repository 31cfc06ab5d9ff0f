//! Decisions of wagtailbeam as pure state machines.
//!
//! Nothing here opens a socket or a file, reads a clock or draws a random
//! number: time and seeds are arguments, and every effect is returned as data.

pub mod admit;
pub mod burn;
pub mod canary;
pub mod clock;
pub mod daemon;
pub mod digest;
pub mod earlier;
pub mod entry;
pub mod exchange;
pub mod gate;
pub mod hedge;
pub mod ini;
pub mod job;
pub mod lease;
pub mod manifest;
pub mod membership;
pub mod message;
pub mod name;
pub mod once;
pub mod owner;
pub mod placement;
pub mod proposal;
pub mod propose;
pub mod query;
pub mod read;
pub mod register;
pub mod repair;
pub mod request;
pub mod roster;
pub mod route;
pub mod suspect;
pub mod trace;
pub mod voter;
