//! One attempt at a call to the platform's store: the request, the response on its way, and how it ends.

use std::{cell::Cell, time::Duration};

use crate::{
    coordination::{configuration::arrival, era},
    platform::headers,
    transport::{
        h1::{fault, head},
        timers,
    },
};

/// Time within which the response to a call must begin; that of a watch is longer by the wait that it asks for. A
/// slow store takes a quarter of a second. How long the rest may take is decided in [`arrival`].
pub const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Time from which on the arrival of a response is logged. A usual one comes in one piece.
const LONG_ARRIVAL: Duration = Duration::from_millis(250);

/// Why an attempt at a call got no response.
pub enum AttemptError {
    /// No connection could be opened, so the store did nothing.
    NotSent(String),
    /// The request may have been sent, and the store may have processed it.
    NoResponse(String),
    /// As [`Self::NoResponse`], because a time limit passed.
    TimedOut,
}

impl AttemptError {
    /// Text for errors.
    pub fn cause(self) -> String {
        match self {
            Self::NotSent(cause) | Self::NoResponse(cause) => cause,
            Self::TimedOut => "it did not arrive in time".to_owned(),
        }
    }
}

impl From<fault::Fault> for AttemptError {
    fn from(err: fault::Fault) -> Self {
        match err {
            fault::Fault::TooSlow(_) => Self::TimedOut,
            err => Self::NoResponse(err.to_string()),
        }
    }
}

/// A call to be made.
#[derive(Clone, Copy)]
pub struct Call<'a> {
    /// Name in metrics, logs and errors.
    pub name: &'static str,
    pub method: &'a str,
    pub path: &'a str,
    pub body: Option<&'a [u8]>,
    /// Time within which the response must begin on a link without delay.
    pub timeout: Duration,
    /// Called with the announced length when the head of a successful response has arrived; returns whether the rest is
    /// read.
    pub began: &'a dyn Fn(Option<u64>) -> bool,
}

impl<'a> Call<'a> {
    /// A read.
    pub fn get(name: &'static str, path: &'a str) -> Self {
        Self {
            name,
            method: "GET",
            path,
            body: None,
            timeout: CALL_TIMEOUT,
            began: &|_| true,
        }
    }

    /// A call with a JSON body.
    pub fn post(name: &'static str, path: &'a str, body: &'a [u8]) -> Self {
        Self {
            method: "POST",
            body: Some(body),
            ..Self::get(name, path)
        }
    }
}

/// A response on its way. One that is dropped before its end is counted and logged.
pub struct Arriving<'a> {
    pub call: &'static str,
    pub timers: &'a timers::Timers,
    pub arrival: Cell<arrival::Arrival>,
    pub is_whole: Cell<bool>,
}

impl<'a> Arriving<'a> {
    /// Starts with a response that must begin by `due`.
    pub fn new(call: &'static str, timers: &'a timers::Timers, due: Duration) -> Self {
        Self {
            call,
            timers,
            arrival: Cell::new(arrival::Arrival::new(due)),
            is_whole: Cell::new(false),
        }
    }

    /// Runs a step of the exchange; `None` when the response times out first.
    pub async fn within<T>(&self, step: impl Future<Output = T>) -> Option<T> {
        let left = self.arrival.get().due().saturating_sub(self.timers.now());
        self.timers.within(left, step).await
    }

    /// Changes what is noted of the arrival.
    pub fn update(&self, change: impl FnOnce(&mut arrival::Arrival)) {
        let mut arrival = self.arrival.get();
        change(&mut arrival);
        self.arrival.set(arrival);
    }
}

impl Drop for Arriving<'_> {
    fn drop(&mut self) {
        let arrival = self.arrival.get();
        let Some(began_at) = arrival.began_at else {
            return;
        };
        let took = self.timers.now().saturating_sub(began_at);
        let (call, received, announced) = (self.call, arrival.received, arrival.announced);
        let arrival_ms = took.as_millis() as u64;
        if !self.is_whole.get() {
            metrics::counter!("fulmar_gateway_store_incomplete_responses_total", "call" => call)
                .increment(1);
            tracing::info!(
                call,
                received,
                announced,
                arrival_ms,
                "store: a response was cut off"
            );
        } else if took >= LONG_ARRIVAL {
            tracing::info!(call, received, arrival_ms, "store: a long response arrived");
        }
    }
}

/// A response.
pub struct Response {
    pub status: u16,
    /// Body; `None` if it was not read.
    pub body: Option<Vec<u8>>,
    pub named_era: era::Named,
    /// Whether the response belongs to the newest era known.
    pub verdict: era::Verdict,
}

impl Response {
    /// A response of which only the head was read.
    pub fn without_body(head: &head::ResponseHead) -> Self {
        Self {
            status: head.status,
            body: None,
            named_era: headers::store_era(head),
            verdict: era::Verdict::Current,
        }
    }
}
