//! Decisions under load.
//!
//! They learn how much load each replica takes: `capacity` turns that into a factor on a replica's
//! cost, by one of several estimators (`average`, `concurrency`, and `evidence` for the gradient);
//! `report` adds up the evidence of all hosts, and `exchange` is the voter's part in it. `waiting`
//! determines the order of the parts that wait for capacity. `watch` tells which replicas became
//! slow, for logs and metrics.

pub mod average;
pub mod capacity;
pub mod concurrency;
pub mod evidence;
mod exchange;
pub mod report;
pub mod waiting;
pub mod watch;
