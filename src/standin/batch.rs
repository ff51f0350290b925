//! Admission to an engine's batch: a fixed number of slots with a bounded priority queue.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

/// Sort key of a queued request: its priority, lower first, then its order of arrival.
type QueuePosition = (i64, u64);

/// The slots of an engine and the requests that wait for one.
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
    /// Number of requests that were queued so far.
    arrivals: u64,
    /// Queued requests; a slot is handed over through the sender.
    waiting: BTreeMap<QueuePosition, async_channel::Sender<Slot>>,
}

/// Numbers of requests in a batch and in its queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Occupancy {
    /// Requests that hold a slot.
    pub running: usize,
    /// Requests in the queue.
    pub waiting: usize,
    /// Maximum number of requests that held a slot at the same time.
    pub largest_batch: usize,
}

/// A slot, released when dropped.
#[derive(Debug)]
pub struct Slot(Arc<Batch>);

/// Error: all slots are taken and the queue is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFull;

/// Removes a request from the queue when dropped, also when its caller stops waiting.
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
    /// Creates a batch with `slots` slots and room for `queue_capacity` waiting requests.
    pub fn new(slots: usize, queue_capacity: usize) -> Arc<Self> {
        Arc::new(Self {
            slots,
            queue_capacity,
            state: Mutex::default(),
        })
    }

    /// Takes a slot, or waits in the queue while all are taken.
    ///
    /// # Errors
    ///
    /// [`QueueFull`] when all slots are taken and the queue has no room.
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

    /// Removes the first request from the queue and returns its sender, so that the caller can hand
    /// the slot over; frees the slot when the queue is empty.
    fn release(&self) -> Option<async_channel::Sender<Slot>> {
        let mut state = self.state.lock().unwrap();
        let first = state.waiting.pop_first();
        if first.is_none() {
            state.running -= 1;
        }
        first.map(|(_, tx)| tx)
    }

    /// Current numbers of running and waiting requests.
    pub fn occupancy(&self) -> Occupancy {
        let state = self.state.lock().unwrap();
        Occupancy {
            running: state.running,
            waiting: state.waiting.len(),
            largest_batch: state.largest_batch,
        }
    }

    /// Fraction of the slots that are taken, from 0 to 1.
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
