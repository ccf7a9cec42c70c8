//! The memory of the process, as the kernel counts it.

use std::fs;
use std::io;
use tracing::{debug, info};

/// The file in which the kernel reports the memory of the process.
const STATUS_FILE: &str = "/proc/self/status";

/// The resident memory of the process, in KiB.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ResidentMemory {
    /// At present.
    pub current_kib: u64,
    /// The largest value since the start.
    pub peak_kib: u64,
}

impl ResidentMemory {
    /// Reads the resident memory of this process.
    ///
    /// # Errors
    /// The kernel's report cannot be read, or has no such values.
    pub(super) fn read() -> io::Result<ResidentMemory> {
        let status = fs::read_to_string(STATUS_FILE)?;
        ResidentMemory::parse(&status).ok_or_else(|| io::ErrorKind::InvalidData.into())
    }

    /// Finds the values in the kernel's report, which has a line `name: value kB` for each.
    fn parse(status: &str) -> Option<ResidentMemory> {
        let kib = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name))?;
            line.trim_start_matches(':').split_whitespace().next()?.parse().ok()
        };
        Some(ResidentMemory { current_kib: kib("VmRSS")?, peak_kib: kib("VmHWM")? })
    }
}

/// Logs the resident memory of the process beside its limit.
pub(super) fn log(limit_bytes: usize) {
    match ResidentMemory::read() {
        Ok(ResidentMemory { current_kib, peak_kib }) => {
            info!(resident_kib = current_kib, peak_kib, limit_kib = limit_bytes >> 10, "memory");
        }
        Err(error) => debug!(%error, "the memory of the process is not known"),
    }
}

#[cfg(test)]
mod tests;
