//! Admission of attempts at an agent: as many as the engine batches, and a short queue.

use std::collections::BTreeMap;

/// A place in the queue; smaller tickets run first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    /// Priority of the request; smaller runs first.
    pub priority: u8,
    /// Order of arrival.
    pub number: u64,
}

/// What becomes of an arriving attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It runs now.
    Run,
    /// It waits until its ticket is called.
    Wait(Ticket),
    /// The queue is full.
    Full,
}

/// Slots of an engine and the queue before them.
#[derive(Debug)]
pub struct Slots {
    slots: u32,
    queue_capacity: usize,
    running: u32,
    solo: bool,
    last_number: u64,
    waiting: BTreeMap<Ticket, bool>,
}

impl Slots {
    /// Lets `slots` attempts run and `queue` more wait.
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
            solo: false,
            last_number: 0,
            waiting: BTreeMap::new(),
        }
    }

    /// Takes an attempt; one that is `solo` runs with no neighbours.
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

    /// Ends an attempt that ran; returns the tickets that run from now on.
    pub fn finish(&mut self) -> Vec<Ticket> {
        self.running = self.running.saturating_sub(1);
        self.solo = false;
        self.start_waiting()
    }

    /// Takes a ticket out of the queue; false when it runs already.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.waiting.remove(&ticket).is_some()
    }

    /// Calls the waiting tickets that may run.
    pub fn start_waiting(&mut self) -> Vec<Ticket> {
        let mut called = Vec::new();
        while let Some((&ticket, &solo)) = self.waiting.first_key_value() {
            if !self.may_run(solo) {
                break;
            }
            self.waiting.remove(&ticket);
            self.run(solo);
            called.push(ticket);
        }
        called
    }

    /// Attempts that run.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Attempts that wait.
    pub fn queued(&self) -> u32 {
        self.waiting.len() as u32
    }

    fn may_run(&self, solo: bool) -> bool {
        let limit = if solo { 1 } else { self.slots };
        !self.solo && self.running < limit
    }

    fn run(&mut self, solo: bool) {
        self.running += 1;
        self.solo = solo;
    }
}
