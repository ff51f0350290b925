//! Simulates the network between VMs: latency, partitions, frozen connections and repeated calls.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use fulmarproxy::state::name;

use super::clock;

/// Least latency of a message one way; up to 1 ms of random jitter is added.
const MIN_LATENCY: Duration = Duration::from_millis(1);

/// Time after which a silent connection is given up.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(6);

/// Sending and receiving VM.
type Pair = (String, String);

#[derive(Default)]
struct State {
    cut: BTreeSet<Pair>,
    slow: BTreeMap<Pair, Duration>,
    /// How often the connections of a pair were frozen.
    freeze_counts: BTreeMap<Pair, u64>,
    repeated_calls: BTreeSet<String>,
    rng: Option<fastrand::Rng>,
}

/// A handle to the simulated network. Faults apply to one direction unless stated otherwise.
#[derive(Clone)]
pub struct Links {
    clock: clock::Clock,
    state: Arc<Mutex<State>>,
}

/// An open connection between two VMs.
#[derive(Clone)]
pub struct Connection {
    links: Links,
    from: String,
    to: String,
    /// Freeze count of the pair when the connection was opened; a higher one means it is frozen.
    freeze_count: u64,
}

fn pair(from: &str, to: &str) -> Pair {
    (from.to_owned(), to.to_owned())
}

impl Links {
    /// Creates a network without faults.
    pub fn new(clock: clock::Clock, seed: u64) -> Self {
        let rng = Some(fastrand::Rng::with_seed(seed));
        let state = State {
            rng,
            ..Default::default()
        };
        let state = Arc::new(Mutex::new(state));
        Self { clock, state }
    }

    /// Drops all messages from one VM to another.
    pub fn cut(&self, from: &str, to: &str) {
        self.state.lock().unwrap().cut.insert(pair(from, to));
    }

    /// Delivers messages from one VM to another again.
    pub fn heal(&self, from: &str, to: &str) {
        self.state.lock().unwrap().cut.remove(&pair(from, to));
    }

    /// Ends all faults; connections that were frozen stay so.
    pub fn heal_all(&self) {
        let mut state = self.state.lock().unwrap();
        state.cut.clear();
        state.slow.clear();
        state.repeated_calls.clear();
    }

    /// Adds a delay to messages from one VM to another.
    pub fn slow(&self, from: &str, to: &str, delay: Duration) {
        self.state
            .lock()
            .unwrap()
            .slow
            .insert(pair(from, to), delay);
    }

    /// Freezes the connections that are open between two VMs; new ones work.
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

    /// Whether messages are delivered in both directions.
    pub fn is_open(&self, one: &str, other: &str) -> bool {
        let state = self.state.lock().unwrap();
        !state.cut.contains(&pair(one, other)) && !state.cut.contains(&pair(other, one))
    }

    /// Opens a connection, which never fails: a partition shows only in lost messages.
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

    /// Error message for a connection that delivers nothing.
    pub fn silent_message(to: &str) -> String {
        format!("connection to {to} is silent")
    }
}

impl Connection {
    /// Delivers one message to the peer; false if it is lost.
    pub async fn send_forward(&self) -> bool {
        self.deliver(&self.from, &self.to).await
    }

    /// Delivers one message back from the peer; false if it is lost.
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
        MIN_LATENCY + Duration::from_micros(jitter_us) + added.unwrap_or_default()
    }

    fn passes(&self, from: &str, to: &str) -> bool {
        let state = self.links.state.lock().unwrap();
        let freeze_count = state.freeze_counts.get(&pair(&self.from, &self.to));
        freeze_count.copied().unwrap_or(0) == self.freeze_count
            && !state.cut.contains(&pair(from, to))
    }

    /// Waits until the silent connection is given up.
    pub async fn wait_for_timeout(&self) {
        self.links.clock.sleep(SILENCE_TIMEOUT).await;
    }
}

/// Address of a VM.
pub fn address_of(vm: &str) -> name::Name {
    format!("{vm}:7070").into()
}

/// VM at an address.
pub fn vm_of(address: &str) -> String {
    address.split(':').next().unwrap_or_default().to_owned()
}
