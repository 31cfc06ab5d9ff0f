//! The protocol and scheduling logic of wagtailbeam as state machines without I/O.
//!
//! No code in this crate opens a socket or a file, reads a clock or draws a random
//! number. Time and seeds are arguments, and every effect is returned as data for the
//! adapter to carry out.

pub mod admission;
pub mod allowance;
pub mod answer;
mod answering;
pub mod appended;
mod attempt;
pub mod branch;
pub mod burn;
pub mod canary;
pub mod catalog;
mod choice;
pub mod clock;
pub mod controller;
pub mod daemon;
pub mod digest;
pub mod endpoint;
pub mod entry;
pub mod exchange;
pub mod fanout;
pub mod feed;
pub mod fleet;
pub mod flight;
pub mod gateway;
mod gathering;
pub mod handover;
pub mod hedge;
pub mod idempotency;
pub mod ini;
mod isolation;
pub mod job;
pub mod latency;
pub mod lease;
pub mod limiter;
mod listing;
pub mod manifest;
pub mod merge;
pub mod message;
pub mod name;
pub mod owner;
pub mod ownership;
pub mod parse;
pub mod placement;
pub mod plan;
pub mod proposal;
pub mod proposer;
mod publisher;
pub mod quarantine;
pub mod query;
pub mod quota;
mod refresh;
pub mod register;
pub mod repair;
pub mod request;
pub mod roster;
pub mod rotation;
pub mod route;
mod scatter;
mod seats;
pub mod suspect;
mod throttle;
pub mod tier;
pub mod trace;
pub mod voter;
