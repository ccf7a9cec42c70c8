//! What a process uses, as proc(5) tells.

use std::time::Duration;

/// One look at a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct Usage {
    /// Time on processors since its start.
    pub cpu: Duration,
    /// Bytes in memory.
    pub memory: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

impl Usage {
    /// `None` when there is no such process.
    pub fn of(pid: u32) -> Option<Usage> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The name may hold anything, so fields are counted from behind it.
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_ascii_whitespace().collect();
        let ticks: u64 = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        let pages: u64 = fields.get(21)?.parse().ok()?;
        let cpu = Duration::from_secs_f64(ticks as f64 / rustix::param::clock_ticks_per_second() as f64);
        let memory = pages * rustix::param::page_size() as u64;
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |dir| dir.count());
        Some(Usage { cpu, memory, descriptors })
    }
}

#[cfg(test)]
mod tests;
