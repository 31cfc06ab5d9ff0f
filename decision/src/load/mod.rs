//! How much load each replica takes without degrading, learned from its answers.
//!
//! Load pattern: many entry hosts with little traffic each share replicas of different and
//! changing speed. `capacity` holds what is learned of one replica and turns it into a factor on
//! its cost; `evidence` sums up answers; `report` adds up the evidence of all hosts; `average` and `concurrency` are the estimators that the
//! replay in `tests/load` compares with it.

pub mod average;
pub mod capacity;
pub mod concurrency;
pub mod evidence;
pub mod report;
