//! A soak test of the real programs: runs daemons as processes on loopback, injects
//! faults from outside and checks what callers and replicas observe.
//!
//! The seed determines the deployment, the load and the faults. Timing differs between
//! runs with the same seed; the checked guarantees don't depend on timing.

pub mod account;
pub mod caller;
pub mod checker;
mod cluster;
pub mod cut;
pub mod deployment;
pub mod fault;
pub mod limit;
pub mod list;
pub mod moved;
pub mod notice;
pub mod odd;
pub mod operator;
pub mod process;
pub mod proxy;
pub mod replica;
pub mod run;
mod start;
pub mod usage;
mod verdict;
