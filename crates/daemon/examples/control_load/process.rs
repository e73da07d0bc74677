//! CPU time and resident memory of a process, read from /proc.

use std::fs;

use anyhow::{Context as _, Result};

/// Clock ticks per second in /proc/PID/stat; Linux always reports 100 to user space.
const TICKS_PER_S: f64 = 100.0;

#[derive(Clone, Copy, Default)]
pub struct Usage {
    pub cpu_s: f64,
    pub resident_kib: f64,
}

pub fn usage(pid: u32) -> Result<Usage> {
    let stat =
        fs::read_to_string(format!("/proc/{pid}/stat")).context("failed to read the stat file")?;
    // The name of the process is in parentheses and may contain spaces.
    let fields = stat.rsplit_once(')').context("failed to parse the stat file")?.1;
    let ticks: f64 = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|text| text.parse::<f64>().ok())
        .sum();
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .context("VmRSS is missing in the status file")?;
    let resident_kib = line.trim().trim_end_matches("kB").trim().parse()?;
    Ok(Usage { cpu_s: ticks / TICKS_PER_S, resident_kib })
}
