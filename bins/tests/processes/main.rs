//! Tests of the programs as real processes on loopback.

#![expect(clippy::unwrap_used, reason = "a failed step is a failed test")]

mod faults;
mod harness;
mod lifecycle;
