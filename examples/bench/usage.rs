//! Processor time and memory of a process.

use crate::fleet::Failure;

/// Clock ticks per second in which the kernel counts processor time.
const TICKS_PER_SECOND: f64 = 100.0;

/// Processor seconds of a process so far, of its own and the kernel's code.
pub fn cpu_seconds(pid: u32) -> Result<f64, Failure> {
    const USER_FIELD: usize = 11;
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let after_name = stat.rsplit_once(')').ok_or("stat has no name")?.1;
    let fields = after_name.split_whitespace().skip(USER_FIELD).take(2);
    let ticks: Result<Vec<f64>, _> = fields.map(str::parse).collect();
    Ok(ticks?.iter().sum::<f64>() / TICKS_PER_SECOND)
}

/// Resident memory of a process in kilobytes.
pub fn resident_kb(pid: u32) -> Result<u64, Failure> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    Ok(number.ok_or("status has no VmRSS")?.parse()?)
}
