//! Admission of attempts at an agent: as many run at once as the engine batches, and a bounded
//! number waits in a priority queue.

use std::collections::BTreeMap;

/// Identifies a waiting attempt; smaller tickets run first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    /// Priority of the request; smaller runs first.
    pub priority: u8,
    /// Sequence number of the arrival.
    pub number: u64,
}

/// Result of admitting an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The attempt runs now.
    Run,
    /// The attempt waits until its ticket is returned as one that runs.
    Wait(Ticket),
    /// The queue is full.
    Full,
}

/// The slots of an engine and the queue of attempts that wait for one.
#[derive(Debug)]
pub struct Slots {
    slots: u32,
    queue_capacity: usize,
    running: u32,
    solo_running: bool,
    last_number: u64,
    waiting: BTreeMap<Ticket, bool>,
}

impl Slots {
    /// Lets `slots` attempts run at once and `queue_capacity` more wait.
    ///
    /// ```
    /// use fulmarproxy::coordination::slots;
    /// let mut slots = slots::Slots::new(1, 1);
    /// assert_eq!(slots.enter(0, false), slots::Admission::Run);
    /// let slots::Admission::Wait(ticket) = slots.enter(0, false) else { panic!() };
    /// assert_eq!(slots.enter(0, false), slots::Admission::Full);
    /// assert_eq!(slots.finish(), [ticket]);
    /// ```
    pub fn new(slots: u32, queue_capacity: usize) -> Self {
        Self {
            slots,
            queue_capacity,
            running: 0,
            solo_running: false,
            last_number: 0,
            waiting: BTreeMap::new(),
        }
    }

    /// Admits an attempt. A `solo` attempt runs alone: while it runs, no other attempt does.
    pub fn enter(&mut self, priority: u8, solo: bool) -> Admission {
        if self.waiting.is_empty() && self.may_run(solo) {
            self.run(solo);
            return Admission::Run;
        }
        if self.waiting.len() >= self.queue_capacity {
            return Admission::Full;
        }
        self.last_number += 1;
        let ticket = Ticket {
            priority,
            number: self.last_number,
        };
        self.waiting.insert(ticket, solo);
        Admission::Wait(ticket)
    }

    /// Frees the slot of an attempt that has ended; returns the tickets that run from now on.
    pub fn finish(&mut self) -> Vec<Ticket> {
        self.running = self.running.saturating_sub(1);
        self.solo_running = false;
        self.start_waiting()
    }

    /// Removes a ticket from the queue; returns false when its attempt is running already.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.waiting.remove(&ticket).is_some()
    }

    /// Starts the waiting attempts that may run now; returns their tickets.
    pub fn start_waiting(&mut self) -> Vec<Ticket> {
        let mut started = Vec::new();
        while let Some((&ticket, &solo)) = self.waiting.first_key_value() {
            if !self.may_run(solo) {
                break;
            }
            self.waiting.remove(&ticket);
            self.run(solo);
            started.push(ticket);
        }
        started
    }

    /// Number of running attempts.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of waiting attempts.
    pub fn queued(&self) -> u32 {
        self.waiting.len() as u32
    }

    fn may_run(&self, solo: bool) -> bool {
        let limit = if solo { 1 } else { self.slots };
        !self.solo_running && self.running < limit
    }

    fn run(&mut self, solo: bool) {
        self.running += 1;
        self.solo_running = solo;
    }
}
