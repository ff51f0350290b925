//! Finds out whether the backend server died, and which requests ran when it did.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use crate::{
    agent::{Agent, beats},
    coordination::crashes,
    transport::{backend, timers},
};

const PROBE_PATH: &str = "/v1/models";
const PROBE_LIMIT: Duration = Duration::from_secs(2);
const PROBE_PERIOD: Duration = Duration::from_millis(250);

/// Longest wait for the routers to take the report of a crash.
const TELL_LIMIT: Duration = Duration::from_secs(1);

const STATUS_UNAVAILABLE: u16 = 503;

/// Time within which lost streams belong to the same crash.
const SAME_CRASH: Duration = Duration::from_secs(2);

/// Most fingerprints that an agent reports.
const LIMIT: usize = 256;

/// Crashes of the backend server beside an agent.
#[derive(Default)]
pub struct Crashes {
    /// Time of the last crash; locked while the backend server is probed.
    last: smol::lock::Mutex<Option<timers::Now>>,
    known: Mutex<BTreeMap<u64, (u32, timers::Now)>>,
    down: AtomicBool,
}

impl Crashes {
    /// Whether the backend server refuses new calls.
    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::Relaxed)
    }

    /// Requests that were there at crashes, the newest first.
    pub fn report(&self, now: timers::Now) -> Vec<crashes::CrashReport> {
        let mut known = self.known.lock().unwrap();
        known.retain(|_, (_, last)| now.saturating_sub(*last) < crashes::CRASH_RETENTION);
        let report =
            |(fingerprint, (count, last)): (&u64, &(u32, timers::Now))| crashes::CrashReport {
                fingerprint: *fingerprint,
                count: *count,
                age: now.saturating_sub(*last),
            };
        let mut reports: Vec<_> = known.iter().map(report).collect();
        reports.sort_by_key(|report| report.age);
        reports.truncate(LIMIT);
        reports
    }

    fn note(&self, fingerprint: u64, crash: timers::Now) {
        let mut known = self.known.lock().unwrap();
        let (count, last) = known.entry(fingerprint).or_default();
        if *count == 0 || *last != crash {
            *count += 1;
            *last = crash;
        }
    }
}

/// Tells whether a stream was lost because the backend server died.
pub async fn is_crash(agent: &Arc<Agent>, fingerprint: u64) -> bool {
    let crashes = &agent.crashes;
    let mut last = crashes.last.lock().await;
    let now = agent.runtime.timers.now();
    let shared = last.filter(|at| now.saturating_sub(*at) < SAME_CRASH);
    let crash = match shared {
        Some(at) => at,
        None if refuses_calls(agent).await => now,
        None => return false,
    };
    *last = Some(crash);
    crashes.note(fingerprint, crash);
    drop(last);
    watch(agent);
    tell_routers(agent).await;
    true
}

/// Reports to every router before the request ends, so that a repeat is not run first.
async fn tell_routers(agent: &Arc<Agent>) {
    let told = async {
        let routers = beats::read_plan(agent).await.unwrap_or_default().routers;
        let sent = routers
            .into_iter()
            .map(|address| beats::beat(agent.clone(), address, Arc::default()));
        futures::future::join_all(sent).await;
    };
    agent.runtime.timers.within(TELL_LIMIT, told).await;
}

/// Reports the backend server as down until it takes calls again.
pub fn watch(agent: &Arc<Agent>) {
    if agent.crashes.down.swap(true, Ordering::SeqCst) {
        return;
    }
    tracing::warn!("engine: the backend server refuses calls.");
    let (runtime, agent) = (agent.runtime.clone(), agent.clone());
    runtime.spawn(async move {
        while refuses_calls(&agent).await {
            agent.runtime.timers.sleep(PROBE_PERIOD).await;
        }
        agent.crashes.down.store(false, Ordering::SeqCst);
        tracing::info!("engine: the backend server takes calls.");
    });
}

async fn refuses_calls(agent: &Agent) -> bool {
    let call = backend::Call {
        method: "GET".to_owned(),
        path: PROBE_PATH.to_owned(),
        request_id: String::new(),
        idempotency_key: String::new(),
        body: Vec::new(),
    };
    let probe = (agent.backend.send)(call);
    match agent.runtime.timers.within(PROBE_LIMIT, probe).await {
        Some(Ok(answer)) => answer.status == STATUS_UNAVAILABLE,
        Some(Err(_)) => true,
        None => false,
    }
}
