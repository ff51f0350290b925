//! Whether any server can send the first event of a request in time.
//!
//! A request that is sent though none can ends at its deadline, after its prompt may have been read in vain.
//! A refusal must be right, so the estimate is the shortest time that the reports allow, and is made only if
//! all servers have reported.

use std::{sync::Arc, time::Duration};

use crate::{
    coordination::placing::{cost, known, placement},
    state::{name, server},
};

/// Part of the expected time for reading that is counted. Engines read up to 57 tokens in a millisecond;
/// [`cost::READ_PER_MS`] is 40.
const READING_PART: f64 = 0.7;

/// The best server for a request that none can serve in time.
#[derive(Clone, Debug, PartialEq)]
pub struct Late {
    /// The server.
    pub server: name::Name,
    /// Shortest time until the first event there.
    pub expected: Duration,
    /// Requests there, running or waiting, and its slots.
    pub running: f64,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Tokens of prompts that it has still to read.
    pub unread_tokens: f64,
    /// Age of its report.
    pub report_age: Duration,
}

/// Returns the best server if none of `servers` can send the first event of a request within `left`; `None` if one
/// can, has a free slot, or has no recent report, or if there is no server.
///
/// `slot_time` is the measured mean time for which a request holds a slot.
///
/// ```
/// use std::{sync::Arc, time::Duration};
/// use fulmarproxy::{
///     coordination::placing::{placement, server_load, timeliness}, state::server,
/// };
/// let server = Arc::new(server::Server {
///     id: "i-1".into(), service: "s".into(), address: "10.0.0.1:80".parse().unwrap(),
///     zone: "a".into(), software: "v1".into(), slots: 8, takes_work: true, started_unix_ms: 0,
/// });
/// let conditions = placement::Conditions {
///     now: Duration::ZERO, tie: 0, tokens_per_event: 4, routers: 1,
///     target_gap: Duration::from_millis(300),
/// };
/// let (mut placement, prompt) = (placement::Placement::default(), placement::Prompt::default());
/// let late = |placement: &placement::Placement, left| {
///     let (slot_time, left) = (Duration::from_secs(1), Duration::from_millis(left));
///     timeliness::late(placement, &[server.clone()], &prompt, &conditions, slot_time, left)
/// };
/// assert!(late(&placement, 1).is_none(), "no report");
/// let full = server_load::Reported { running: 8, waiting: 31, ..Default::default() };
/// placement.record_report(&server, 0, full, Duration::ZERO, 4, Duration::ZERO);
/// // 32 requests must end first, eight in a second.
/// assert!(late(&placement, 3900).unwrap().expected > Duration::from_secs(4));
/// assert!(late(&placement, 4500).is_none());
/// ```
pub fn late(
    placement: &placement::Placement,
    servers: &[Arc<server::Server>],
    prompt: &placement::Prompt,
    conditions: &placement::Conditions,
    slot_time: Duration,
    left: Duration,
) -> Option<Late> {
    let now = conditions.now;
    let seen: Vec<_> = servers
        .iter()
        .map(|it| placement.look_up(it, now))
        .collect();
    let mean = known::Mean::new(servers, &seen);
    // The prefix may be cached anywhere.
    let work = cost::Work {
        unread_tokens: prompt.own_tokens as f64,
        read_again: 0.0,
        tokens_per_event: conditions.tokens_per_event as f64,
        target_gap_ms: conditions.target_gap.as_secs_f64() * 1000.0,
        utilization: mean.utilization,
    };
    let mut best: Option<Late> = None;
    for (server, seen) in servers.iter().zip(&seen) {
        let load = seen.load?;
        let state = seen.state(server, &mean);
        if state.running < state.slots {
            return None;
        }
        // The wait for a slot is counted by the measured time, not by the one that the cost assumes.
        let without_wait = cost::ServerState {
            slots: f64::INFINITY,
            ..state
        };
        let reading_ms = cost::expect(&without_wait, &work).first_event_ms * READING_PART;
        let ahead = state.running + 1.0 - state.slots;
        let wait_ms = ahead * slot_time.as_secs_f64() * 1000.0 / state.slots.max(1.0);
        // Requests have ended since the report.
        let age_ms = load.age.as_secs_f64() * 1000.0;
        let wait_ms = (wait_ms - age_ms).max(0.0);
        let expected = Duration::try_from_secs_f64((reading_ms + wait_ms) / 1000.0);
        // A wait that is too long to be represented is no reason to refuse by it.
        let expected = expected.ok()?;
        if expected <= left {
            return None;
        }
        if best.as_ref().is_none_or(|best| expected < best.expected) {
            best = Some(Late {
                server: server.id.clone(),
                expected,
                running: state.running,
                slots: server.slots,
                unread_tokens: state.unread_tokens,
                report_age: load.age,
            });
        }
    }
    best
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::coordination::placing::server_load;

    fn servers(count: usize) -> Vec<Arc<server::Server>> {
        let server = |number: usize| server::Server {
            id: format!("i-{number}").into(),
            service: "model".into(),
            address: ([10, 0, 0, 1], 80).into(),
            zone: "a".into(),
            software: "v1".into(),
            slots: 8,
            takes_work: true,
            started_unix_ms: 5,
        };
        (0..count).map(|it| Arc::new(server(it))).collect()
    }

    /// Whether a request is late 100 ms after these reports (running and waiting requests).
    fn is_late(reports: &[Option<(u32, u32)>], now_ms: u64) -> bool {
        let servers = servers(reports.len());
        let mut placement = placement::Placement::default();
        for (server, report) in servers.iter().zip(reports) {
            if let Some((running, waiting)) = report {
                let load = server_load::Reported {
                    running: *running,
                    waiting: *waiting,
                    ..Default::default()
                };
                placement.record_report(server, 5, load, Duration::ZERO, 4, Duration::ZERO);
            }
        }
        let conditions = placement::Conditions {
            now: Duration::from_millis(now_ms),
            tie: 0,
            tokens_per_event: 4,
            target_gap: Duration::from_millis(300),
            routers: 4,
        };
        let prompt = placement::Prompt::default();
        let (slot_time, left) = (Duration::from_secs(1), Duration::from_secs(2));
        late(&placement, &servers, &prompt, &conditions, slot_time, left).is_some()
    }

    /// Guards against refusals that the reports don't prove: of a free slot, a missing or an old report.
    #[test]
    fn a_request_is_late_only_if_recent_reports_of_all_servers_say_so() {
        let full = Some((8, 40));
        assert!(is_late(&[full, full, full], 100));
        assert!(!is_late(&[full, Some((8, 4)), full], 100), "a short queue");
        assert!(!is_late(&[full, Some((7, 0)), full], 100), "a free slot");
        assert!(!is_late(&[full, None, full], 100), "no report");
        assert!(!is_late(&[full, full, full], 2500), "old reports");
        assert!(!is_late(&[], 100), "no server");
    }
}
