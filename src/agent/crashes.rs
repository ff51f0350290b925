//! Detects crashes of the backend server, and reports which requests were running at the time.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use crate::{
    agent::{Agent, heartbeats},
    coordination::crashes,
    transport::{backend, timers},
};

/// Path of the call that probes whether the backend server accepts calls.
const PROBE_PATH: &str = "/v1/models";
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between probes of a backend server that is down.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which a failed request waits for the routers to receive the report of the crash.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

const STATUS_UNAVAILABLE: u16 = 503;

/// Streams that break off within this time of one another are attributed to the same crash.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(2);

/// Limit on the number of fingerprints in a report.
const MAX_REPORTED_FINGERPRINTS: usize = 256;

/// Crashes of the agent's backend server.
#[derive(Default)]
pub struct Crashes {
    /// Time of the last crash. Locked while the backend server is probed, so that streams lost
    /// together cause one probe and are attributed to one crash.
    last: smol::lock::Mutex<Option<timers::Now>>,
    /// Number of crashes during each request and time of the last one, by the request's
    /// fingerprint.
    by_request: Mutex<BTreeMap<u64, (u32, timers::Now)>>,
    down: AtomicBool,
}

impl Crashes {
    /// Whether the backend server is known to refuse calls.
    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::Relaxed)
    }

    /// Fingerprints of the requests that were running during crashes, with the latest crash first.
    pub fn report(&self, now: timers::Now) -> Vec<crashes::CrashReport> {
        let mut by_request = self.by_request.lock().unwrap();
        by_request.retain(|_, (_, last)| now.saturating_sub(*last) < crashes::CRASH_RETENTION);
        let report =
            |(fingerprint, (count, last)): (&u64, &(u32, timers::Now))| crashes::CrashReport {
                fingerprint: *fingerprint,
                count: *count,
                age: now.saturating_sub(*last),
            };
        let mut reports: Vec<_> = by_request.iter().map(report).collect();
        reports.sort_by_key(|report| report.age);
        reports.truncate(MAX_REPORTED_FINGERPRINTS);
        reports
    }

    /// Counts a crash for a request, but the same crash only once.
    fn record(&self, fingerprint: u64, crash: timers::Now) {
        let mut by_request = self.by_request.lock().unwrap();
        let (count, last) = by_request.entry(fingerprint).or_default();
        if *count == 0 || *last != crash {
            *count += 1;
            *last = crash;
        }
    }
}

/// Whether an answer broke off because the backend server crashed. If so, the crash is recorded for
/// the request and reported to the routers before this returns.
pub async fn is_crash(agent: &Arc<Agent>, fingerprint: u64) -> bool {
    let crashes = &agent.crashes;
    let mut last = crashes.last.lock().await;
    let now = agent.runtime.timers.now();
    let same_crash = last.filter(|at| now.saturating_sub(*at) < SAME_CRASH_WINDOW);
    let crash = match same_crash {
        Some(at) => at,
        None if refuses_calls(agent).await => now,
        None => return false,
    };
    *last = Some(crash);
    crashes.record(fingerprint, crash);
    drop(last);
    mark_down(agent);
    report_to_routers(agent).await;
    true
}

/// Sends a heartbeat with the crash to every router that the agent reports to. The request ends
/// only afterwards, so that a router which receives a repeat of it already knows about the crash.
async fn report_to_routers(agent: &Arc<Agent>) {
    let reported = async {
        let routers = heartbeats::read_plan(agent)
            .await
            .unwrap_or_default()
            .routers;
        let sent = routers
            .into_iter()
            .map(|address| heartbeats::send(agent.clone(), address, Arc::default()));
        futures::future::join_all(sent).await;
    };
    agent.runtime.timers.within(REPORT_TIMEOUT, reported).await;
}

/// Marks the backend server as down, and probes it until it accepts calls again.
pub fn mark_down(agent: &Arc<Agent>) {
    if agent.crashes.down.swap(true, Ordering::SeqCst) {
        return;
    }
    tracing::warn!("engine: the backend server refuses calls.");
    let (runtime, agent) = (agent.runtime.clone(), agent.clone());
    runtime.spawn(async move {
        while refuses_calls(&agent).await {
            agent.runtime.timers.sleep(PROBE_INTERVAL).await;
        }
        agent.crashes.down.store(false, Ordering::SeqCst);
        tracing::info!("engine: the backend server accepts calls again.");
    });
}

/// Probes whether the backend server refuses calls; a probe without an answer in time does not
/// count as a refusal.
async fn refuses_calls(agent: &Agent) -> bool {
    let call = backend::Call {
        method: "GET".to_owned(),
        path: PROBE_PATH.to_owned(),
        request_id: String::new(),
        idempotency_key: String::new(),
        body: Vec::new(),
    };
    let probe = (agent.backend.send)(call);
    match agent.runtime.timers.within(PROBE_TIMEOUT, probe).await {
        Some(Ok(response)) => response.status == STATUS_UNAVAILABLE,
        Some(Err(_)) => true,
        None => false,
    }
}
