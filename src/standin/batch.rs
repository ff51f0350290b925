//! The batch of an engine: a number of slots and a bounded queue before them.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

/// QueuePosition in the queue: the priority, lower first, then the order of arrival.
type QueuePosition = (i64, u64);

/// Slots that requests take and give back.
#[derive(Debug)]
pub struct Batch {
    slots: usize,
    queue_capacity: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    running: usize,
    largest_batch: usize,
    arrivals: u64,
    waiting: BTreeMap<QueuePosition, async_channel::Sender<Slot>>,
}

/// How full a batch is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Occupancy {
    /// Requests that hold a slot.
    pub running: usize,
    /// Requests in the queue.
    pub waiting: usize,
    /// Most requests that ever held a slot at once.
    pub largest_batch: usize,
}

/// A slot, given back when dropped.
#[derive(Debug)]
pub struct Slot(Arc<Batch>);

/// The queue is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFull;

struct QueueEntry {
    batch: Arc<Batch>,
    position: QueuePosition,
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        self.batch
            .state
            .lock()
            .unwrap()
            .waiting
            .remove(&self.position);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let next = self.0.release();
        if let Some(next) = next {
            let _ = next.try_send(Self(self.0.clone()));
        }
    }
}

impl Batch {
    /// Makes a batch of `slots` slots and a queue of `queue` places.
    pub fn new(slots: usize, queue_capacity: usize) -> Arc<Self> {
        Arc::new(Self {
            slots,
            queue_capacity,
            state: Mutex::default(),
        })
    }

    /// Takes a slot, waiting in the queue when all are taken.
    ///
    /// # Errors
    ///
    /// [`QueueFull`] when the queue has no place left.
    ///
    /// ```
    /// use fulmarproxy::standin::batch;
    /// let batch = batch::Batch::new(1, 0);
    /// let slot = smol::block_on(batch.acquire(0)).unwrap();
    /// assert_eq!(smol::block_on(batch.acquire(0)).unwrap_err(), batch::QueueFull);
    /// drop(slot);
    /// assert!(smol::block_on(batch.acquire(0)).is_ok());
    /// ```
    pub async fn acquire(self: &Arc<Self>, priority: i64) -> Result<Slot, QueueFull> {
        let (tx, rx) = async_channel::bounded(1);
        let position = {
            let mut state = self.state.lock().unwrap();
            if state.running < self.slots {
                state.occupy_slot();
                return Ok(Slot(self.clone()));
            }
            if state.waiting.len() >= self.queue_capacity {
                return Err(QueueFull);
            }
            state.arrivals += 1;
            let position = (priority, state.arrivals);
            state.waiting.insert(position, tx);
            position
        };
        let _entry = QueueEntry {
            batch: self.clone(),
            position,
        };
        rx.recv().await.map_err(|_| QueueFull)
    }

    /// Hands the slot on to the first in the queue, or frees it.
    fn release(&self) -> Option<async_channel::Sender<Slot>> {
        let mut state = self.state.lock().unwrap();
        let first = state.waiting.pop_first();
        if first.is_none() {
            state.running -= 1;
        }
        first.map(|(_, tx)| tx)
    }

    /// How full the batch is.
    pub fn occupancy(&self) -> Occupancy {
        let state = self.state.lock().unwrap();
        Occupancy {
            running: state.running,
            waiting: state.waiting.len(),
            largest_batch: state.largest_batch,
        }
    }

    /// Share of the slots that are taken, from 0 to 1.
    pub fn utilization(&self) -> f64 {
        self.occupancy().running as f64 / self.slots as f64
    }
}

impl State {
    fn occupy_slot(&mut self) {
        self.running += 1;
        self.largest_batch = self.largest_batch.max(self.running);
    }
}
