//! Input and output of wagtailbeam: sockets, files, clocks, signals, metrics and logs.
//!
//! The loops in [`node`], [`entry`] and [`voter`] feed events to the `decision` package, which
//! does no I/O, and perform the actions that it returns.

pub mod admin;
mod aggregate;
pub mod backend;
pub mod cli;
pub mod client;
pub mod dialect;
pub mod discovery;
pub mod disk;
pub mod entry;
pub mod event;
pub mod frontend;
pub mod host;
pub mod http;
mod inbound;
pub mod ingress;
mod listener;
pub mod logging;
pub mod mesh;
pub mod meter;
pub mod metric;
pub mod node;
pub mod operator;
pub mod peer;
pub mod pool;
mod readiness;
pub mod report;
mod response;
mod serve;
pub mod settings;
pub mod signal;
pub mod socket;
pub mod status;
pub mod store;
pub mod voter;
pub mod wire;
