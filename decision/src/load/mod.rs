//! Decisions under load.

pub mod backlog;
