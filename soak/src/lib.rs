//! A soak of the real programs: processes on loopback, faults from outside them,
//! and checks of what callers and replicas see.
//!
//! A seed gives the deployment, the load and the faults. Timing differs from run to
//! run; what is checked doesn't depend on it.

pub mod caller;
pub mod checker;
mod cluster;
pub mod deployment;
pub mod fault;
pub mod list;
pub mod operator;
pub mod process;
pub mod proxy;
pub mod replica;
pub mod run;
