//! The processor time of other processes, read from `/proc`.

use std::{fs, time::Duration};

use anyhow::Context;

/// The number of clock ticks per second in `/proc/PID/stat`, which is the same on all Linux
/// systems.
const TICKS_PER_SECOND: u64 = 100;
/// The index of the user time among the fields after the command.
const USER_FIELD: usize = 11;
/// The index of the system time among the fields after the command.
const SYSTEM_FIELD: usize = 12;

/// The sum of the processor time that the processes `pids` have used so far.
pub fn processor_time(pids: &[u32]) -> anyhow::Result<Duration> {
    let times: anyhow::Result<Vec<Duration>> =
        pids.iter().map(|pid| processor_time_of(*pid)).collect();
    Ok(times?.into_iter().sum())
}

fn processor_time_of(pid: u32) -> anyhow::Result<Duration> {
    let path = format!("/proc/{pid}/stat");
    let text = fs::read_to_string(&path).with_context(|| path.clone())?;
    parse_stat(&text).with_context(|| format!("{path}: unexpected format"))
}

/// The user and system time in the text of a `/proc/PID/stat` file. `None` if the format is not the
/// expected one.
pub fn parse_stat(text: &str) -> Option<Duration> {
    // The command may contain any characters, including `)`, but it ends at the last `)`.
    let (_, fields) = text.rsplit_once(')')?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |n: usize| fields.get(n)?.parse::<u64>().ok();
    let ticks = ticks(USER_FIELD)?.checked_add(ticks(SYSTEM_FIELD)?)?;
    Some(Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND))
}
