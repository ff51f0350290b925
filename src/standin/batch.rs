//! The batch of an engine: a number of slots and a bounded queue before them.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

/// Place in the queue: the priority, lower first, then the order of arrival.
type Place = (i64, u64);

/// Slots that requests take and give back.
#[derive(Debug)]
pub struct Batch {
    slots: usize,
    queue: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    running: usize,
    largest: usize,
    arrivals: u64,
    waiting: BTreeMap<Place, async_channel::Sender<Slot>>,
}

/// How full a batch is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Filling {
    /// Requests that hold a slot.
    pub running: usize,
    /// Requests in the queue.
    pub waiting: usize,
    /// Most requests that ever held a slot at once.
    pub largest: usize,
}

/// A slot, given back when dropped.
#[derive(Debug)]
pub struct Slot(Arc<Batch>);

/// The queue is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

struct Waiting {
    batch: Arc<Batch>,
    place: Place,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.batch.state.lock().unwrap().waiting.remove(&self.place);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let next = self.0.next_waiting();
        if let Some(next) = next {
            let _ = next.try_send(Self(self.0.clone()));
        }
    }
}

impl Batch {
    /// Makes a batch of `slots` slots and a queue of `queue` places.
    pub fn new(slots: usize, queue: usize) -> Arc<Self> {
        Arc::new(Self {
            slots,
            queue,
            state: Mutex::default(),
        })
    }

    /// Takes a slot, waiting in the queue when all are taken.
    ///
    /// # Errors
    ///
    /// [`Full`] when the queue has no place left.
    ///
    /// ```
    /// use fulmarproxy::standin::batch;
    /// let batch = batch::Batch::new(1, 0);
    /// let slot = smol::block_on(batch.enter(0)).unwrap();
    /// assert_eq!(smol::block_on(batch.enter(0)).unwrap_err(), batch::Full);
    /// drop(slot);
    /// assert!(smol::block_on(batch.enter(0)).is_ok());
    /// ```
    pub async fn enter(self: &Arc<Self>, priority: i64) -> Result<Slot, Full> {
        let (tx, rx) = async_channel::bounded(1);
        let place = {
            let mut state = self.state.lock().unwrap();
            if state.running < self.slots {
                state.take();
                return Ok(Slot(self.clone()));
            }
            if state.waiting.len() >= self.queue {
                return Err(Full);
            }
            state.arrivals += 1;
            let place = (priority, state.arrivals);
            state.waiting.insert(place, tx);
            place
        };
        let _waiting = Waiting {
            batch: self.clone(),
            place,
        };
        rx.recv().await.map_err(|_| Full)
    }

    /// Hands the slot on to the first in the queue, or frees it.
    fn next_waiting(&self) -> Option<async_channel::Sender<Slot>> {
        let mut state = self.state.lock().unwrap();
        let first = state.waiting.pop_first();
        if first.is_none() {
            state.running -= 1;
        }
        first.map(|(_, tx)| tx)
    }

    /// How full the batch is.
    pub fn filling(&self) -> Filling {
        let state = self.state.lock().unwrap();
        Filling {
            running: state.running,
            waiting: state.waiting.len(),
            largest: state.largest,
        }
    }

    /// Share of the slots that are taken, from 0 to 1.
    pub fn fill(&self) -> f64 {
        self.filling().running as f64 / self.slots as f64
    }
}

impl State {
    fn take(&mut self) {
        self.running += 1;
        self.largest = self.largest.max(self.running);
    }
}
