//! Runs one script of the review: `lab NAME RECORD`.

#[allow(dead_code)]
mod common;
mod endless;
mod evac;
mod seat;
mod twice;

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("endless") => endless::run(),
        Some("evac") => evac::run(),
        Some("seat") => seat::run(),
        Some("twice") => twice::run(),
        _ => std::process::exit(2),
    }
}
