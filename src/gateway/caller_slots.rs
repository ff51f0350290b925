//! The table of callers' connections, and the guards of its entries.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use metrics::{counter, gauge};

use crate::{
    coordination::{
        limits::callers::{Admission, Callers, State},
        log_sampling,
    },
    transport::timers,
};

/// Open connections of callers.
pub struct CallerSlots {
    callers: RefCell<Callers>,
    timers: timers::Timers,
    /// Notified when a connection is to be closed, by its id.
    closes: RefCell<HashMap<u64, Rc<event_listener::Event>>>,
    log_quota: RefCell<log_sampling::FailureQuota>,
}

/// Entry of one connection, until its value is dropped.
pub struct CallerSlot {
    slots: Rc<CallerSlots>,
    id: u64,
    close: Rc<event_listener::Event>,
}

impl CallerSlots {
    /// Creates a table for `max` connections.
    pub fn new(max: usize, timers: timers::Timers) -> Rc<Self> {
        Rc::new(Self {
            callers: RefCell::new(Callers::new(max)),
            timers,
            closes: RefCell::default(),
            log_quota: RefCell::default(),
        })
    }

    /// Changes the maximum number of connections.
    pub fn set_max(&self, max: usize) {
        self.callers.borrow_mut().set_max(max);
    }

    /// Enters a new connection; `None` when it must be refused. Another connection may be closed in its place.
    pub fn enter(self: &Rc<Self>) -> Option<CallerSlot> {
        let now = self.timers.now();
        let admission = self.callers.borrow_mut().admit(now);
        let (id, closed) = match admission {
            Admission::Accepted(id) => (Some(id), None),
            Admission::InPlaceOf(id, chosen, state) => {
                // An entry without an event has been closed already.
                if let Some(close) = self.closes.borrow_mut().remove(&chosen) {
                    close.notify(usize::MAX);
                }
                (Some(id), Some(state.name()))
            }
            Admission::Refused => (None, Some("new")),
        };
        if let Some(state) = closed {
            counter!("fulmar_gateway_callers_closed_total", "state" => state).increment(1);
            if self.log_quota.borrow_mut().take(now) {
                let open = self.callers.borrow().count();
                tracing::info!(state, open, "front: too many connections, closed one");
            }
        }
        let id = id?;
        let close = Rc::new(event_listener::Event::new());
        self.closes.borrow_mut().insert(id, close.clone());
        Some(CallerSlot {
            slots: self.clone(),
            id,
            close,
        })
    }

    /// Updates the gauge of the table.
    pub fn update_gauges(&self) {
        gauge!("fulmar_gateway_callers").set(self.callers.borrow().count() as f64);
    }
}

impl CallerSlot {
    /// Records the state of the connection.
    pub fn set_state(&self, state: State) {
        let now = self.slots.timers.now();
        self.slots
            .callers
            .borrow_mut()
            .set_state(self.id, state, now);
    }

    /// Waits until the connection is to be closed in favour of a newer one.
    pub async fn closed(&self) {
        let close = self.close.listen();
        if self.slots.closes.borrow().contains_key(&self.id) {
            close.await;
        }
    }
}

impl Drop for CallerSlot {
    fn drop(&mut self) {
        self.slots.callers.borrow_mut().close(self.id);
        self.slots.closes.borrow_mut().remove(&self.id);
    }
}
