//! What the soak's own process uses of the machine. A soak that takes the processor from the
//! programs under test measures itself.

use std::fmt;
use std::fs;
use std::time::Duration;

/// Ticks in a second in which the system counts processor time.
const TICKS_PER_SECOND: f64 = 100.0;

/// Fields before the processor time in the part of the process's line after its name.
const FIELDS_BEFORE_TIME: usize = 11;

/// Resources used by this process since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time, in user and in system mode.
    pub processor: Duration,
    /// Most memory held at once, in kB.
    pub memory_max_kb: u64,
    /// Number of threads now.
    pub threads: u64,
}

impl Usage {
    /// Reads the usage so far; what the system doesn't tell is zero.
    pub fn read() -> Usage {
        let line = fs::read_to_string("/proc/self/stat").unwrap_or_default();
        let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
        let after_name = line.rsplit(')').next().unwrap_or_default();
        let fields = after_name.split_whitespace().skip(FIELDS_BEFORE_TIME);
        let ticks = fields.take(2).flat_map(str::parse::<f64>).sum::<f64>();
        Usage {
            processor: Duration::from_secs_f64(ticks / TICKS_PER_SECOND),
            memory_max_kb: field(&status, "VmHWM:"),
            threads: field(&status, "Threads:"),
        }
    }
}

/// The number after this name in a process's status.
fn field(status: &str, name: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let number = line.and_then(|line| line.split_whitespace().next());
    number
        .and_then(|number| number.parse().ok())
        .unwrap_or_default()
}

impl fmt::Display for Usage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (seconds, megabytes) = (self.processor.as_secs_f64(), self.memory_max_kb / 1_024);
        let threads = self.threads;
        write!(
            f,
            "{seconds:.1} s of processor time, {megabytes} MB at most, {threads} threads"
        )
    }
}
