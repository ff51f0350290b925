//! Processor time and memory of a process, read from `/proc`.

use crate::fleet::BoxError;

/// Clock ticks per second, the unit of processor time in `/proc/PID/stat` (`USER_HZ` of Linux).
const TICKS_PER_SECOND: f64 = 100.0;

/// Processor seconds that a process has used so far, in user and kernel mode.
pub fn cpu_seconds(pid: u32) -> Result<f64, BoxError> {
    /// Index of `utime` among the fields after the command name; `stime` follows it.
    const UTIME_INDEX: usize = 11;
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The command name is in parentheses and may itself contain spaces and parentheses.
    let after_name = stat
        .rsplit_once(')')
        .ok_or("/proc/PID/stat has no command name")?
        .1;
    let fields = after_name.split_whitespace().skip(UTIME_INDEX).take(2);
    let ticks: Result<Vec<f64>, _> = fields.map(str::parse).collect();
    Ok(ticks?.iter().sum::<f64>() / TICKS_PER_SECOND)
}

/// Resident memory of a process in kilobytes.
pub fn resident_kb(pid: u32) -> Result<u64, BoxError> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    Ok(number
        .ok_or("/proc/PID/status has no VmRSS line")?
        .parse()?)
}
