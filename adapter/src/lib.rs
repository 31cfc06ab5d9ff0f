//! Adapters of wagtailbeam: everything that touches sockets, files and clocks.

pub mod admin;
pub mod backend;
pub mod cli;
pub mod client;
pub mod event;
pub mod front;
pub mod http;
pub mod metric;
pub mod node;
pub mod peer;
pub mod report;
pub mod settings;
pub mod status;
pub mod store;
pub mod wire;
