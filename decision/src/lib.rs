//! The protocol and scheduling logic of wagtailbeam as state machines without I/O.
//!
//! No code in this crate opens a socket or a file, reads a clock or draws a random
//! number. Time and seeds are arguments, and every effect is returned as data for the
//! adapter to carry out.

pub mod admit;
pub mod allowance;
mod answering;
mod attempt;
pub mod branch;
pub mod burn;
pub mod canary;
pub mod catalog;
mod choice;
pub mod clock;
pub mod control;
pub mod daemon;
pub mod digest;
pub mod earlier;
pub mod endpoint;
pub mod entry;
pub mod exchange;
pub mod fanout;
pub mod feed;
mod feeding;
pub mod fleet;
pub mod flight;
pub mod gate;
pub mod gateway;
mod gathering;
pub mod hedge;
pub mod ini;
pub mod job;
pub mod latency;
pub mod lease;
mod listing;
pub mod manifest;
pub mod membership;
pub mod merge;
pub mod message;
pub mod name;
pub mod once;
pub mod owner;
pub mod parse;
pub mod placement;
pub mod plan;
pub mod proposal;
pub mod propose;
pub mod query;
mod reading;
pub mod register;
pub mod repair;
pub mod request;
pub mod roster;
pub mod rotation;
pub mod route;
mod scatter;
mod seating;
pub mod suspect;
pub mod tier;
pub mod trace;
pub mod voter;
