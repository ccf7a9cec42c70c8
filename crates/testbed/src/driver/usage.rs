//! Resource usage of a process, from proc(5).

use std::time::Duration;

/// The resource usage of a process at one point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct Usage {
    /// Processor time since its start.
    pub cpu: Duration,
    /// Resident memory, in bytes.
    pub memory: u64,
    /// Number of open descriptors.
    pub descriptors: usize,
}

impl Usage {
    /// Reads the usage of a process; `None` when there is no such process.
    pub fn read(pid: u32) -> Option<Usage> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The process name may contain any character, so fields are counted from its closing parenthesis.
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_ascii_whitespace().collect();
        let ticks: u64 = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        let pages: u64 = fields.get(21)?.parse().ok()?;
        let cpu = Duration::from_secs_f64(ticks as f64 / rustix::param::clock_ticks_per_second() as f64);
        let memory = pages * rustix::param::page_size() as u64;
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |dir| dir.count());
        Some(Usage { cpu, memory, descriptors })
    }
}

/// Returns the largest resident memory of a process since its start, in KiB; `None` when there is no such process.
pub fn peak_memory_kib(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.split_whitespace().next()?.parse().ok()
}

#[cfg(test)]
mod tests;
