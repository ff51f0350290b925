//! The network between VMs: latency, cuts, frozen connections and repeated calls.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use fulmarproxy::state::name;

use super::clock;

const LATENCY: Duration = Duration::from_millis(1);

/// Time after which an unanswered connection is given up.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(6);

type Pair = (String, String);

#[derive(Default)]
struct State {
    cut: BTreeSet<Pair>,
    slow: BTreeMap<Pair, Duration>,
    freeze_counts: BTreeMap<Pair, u64>,
    repeated_calls: BTreeSet<String>,
    rng: Option<fastrand::Rng>,
}

/// All links; a pair is directed.
#[derive(Clone)]
pub struct Links {
    clock: clock::Clock,
    state: Arc<Mutex<State>>,
}

/// One open connection.
#[derive(Clone)]
pub struct Connection {
    links: Links,
    from: String,
    to: String,
    freeze_count: u64,
}

fn pair(from: &str, to: &str) -> Pair {
    (from.to_owned(), to.to_owned())
}

impl Links {
    /// Makes a network without faults.
    pub fn new(clock: clock::Clock, seed: u64) -> Self {
        let rng = Some(fastrand::Rng::with_seed(seed));
        let state = State {
            rng,
            ..Default::default()
        };
        let state = Arc::new(Mutex::new(state));
        Self { clock, state }
    }

    /// Loses everything sent one way.
    pub fn cut(&self, from: &str, to: &str) {
        self.state.lock().unwrap().cut.insert(pair(from, to));
    }

    /// Lets messages pass again one way.
    pub fn heal(&self, from: &str, to: &str) {
        self.state.lock().unwrap().cut.remove(&pair(from, to));
    }

    /// Ends every fault.
    pub fn heal_all(&self) {
        let mut state = self.state.lock().unwrap();
        state.cut.clear();
        state.slow.clear();
        state.repeated_calls.clear();
    }

    /// Adds a delay one way.
    pub fn slow(&self, from: &str, to: &str, delay: Duration) {
        self.state
            .lock()
            .unwrap()
            .slow
            .insert(pair(from, to), delay);
    }

    /// Silences the connections that are open between two VMs.
    pub fn freeze(&self, from: &str, to: &str) {
        let mut state = self.state.lock().unwrap();
        *state.freeze_counts.entry(pair(from, to)).or_default() += 1;
        *state.freeze_counts.entry(pair(to, from)).or_default() += 1;
    }

    /// Delivers every call to a VM twice from now on.
    pub fn repeat_calls(&self, to: &str) {
        self.state
            .lock()
            .unwrap()
            .repeated_calls
            .insert(to.to_owned());
    }

    /// Whether calls to a VM are delivered twice.
    pub fn is_repeated(&self, to: &str) -> bool {
        self.state.lock().unwrap().repeated_calls.contains(to)
    }

    /// Whether messages pass both ways.
    pub fn is_open(&self, one: &str, other: &str) -> bool {
        let state = self.state.lock().unwrap();
        !state.cut.contains(&pair(one, other)) && !state.cut.contains(&pair(other, one))
    }

    /// Opens a connection.
    pub fn connect(&self, from: &str, to: &str) -> Connection {
        let state = self.state.lock().unwrap();
        Connection {
            links: self.clone(),
            from: from.to_owned(),
            to: to.to_owned(),
            freeze_count: state
                .freeze_counts
                .get(&pair(from, to))
                .copied()
                .unwrap_or(0),
        }
    }

    /// Names of both ends in a message.
    pub fn silent_message(to: &str) -> String {
        format!("connection to {to} is silent")
    }
}

impl Connection {
    /// Carries one message to the far end; false when it is lost.
    pub async fn send_forward(&self) -> bool {
        self.deliver(&self.from, &self.to).await
    }

    /// Carries one message back; false when it is lost.
    pub async fn send_back(&self) -> bool {
        self.deliver(&self.to, &self.from).await
    }

    async fn deliver(&self, from: &str, to: &str) -> bool {
        let delay = self.delay(from, to);
        self.links.clock.sleep(delay).await;
        self.passes(from, to)
    }

    fn delay(&self, from: &str, to: &str) -> Duration {
        let mut state = self.links.state.lock().unwrap();
        let added = state.slow.get(&pair(from, to)).copied();
        let jitter_us = state.rng.as_mut().map_or(0, |rng| rng.u64(..1000));
        LATENCY + Duration::from_micros(jitter_us) + added.unwrap_or_default()
    }

    fn passes(&self, from: &str, to: &str) -> bool {
        let state = self.links.state.lock().unwrap();
        let freeze_count = state.freeze_counts.get(&pair(&self.from, &self.to));
        freeze_count.copied().unwrap_or(0) == self.freeze_count
            && !state.cut.contains(&pair(from, to))
    }

    /// Waits until the silence has been noticed.
    pub async fn wait_for_timeout(&self) {
        self.links.clock.sleep(SILENCE_TIMEOUT).await;
    }
}

/// The address of a VM.
pub fn address_of(vm: &str) -> name::Name {
    format!("{vm}:7070").into()
}

/// The VM at an address.
pub fn vm_of(address: &str) -> String {
    address.split(':').next().unwrap_or_default().to_owned()
}
