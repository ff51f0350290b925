//! Simulated engine crashes, triggered by a text in a prompt.
//!
//! A hard crash ends the process. A soft crash ends only the running requests; the process refuses
//! requests for a while and then serves again.

use std::{
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

/// Exit code of a process that crashed on a prompt with the trigger.
pub const CRASH_EXIT_CODE: i32 = 70;

/// When and how an engine crashes.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// A prompt that contains this text crashes the engine.
    pub trigger: Option<String>,
    /// Whether only the running requests are aborted and the process keeps running.
    pub soft: bool,
    /// Time after a soft crash during which the engine refuses requests.
    pub restart_time: Duration,
}

/// Generation of the engine; each soft crash starts a new one.
///
/// Requests of an earlier generation, running or queued, are aborted.
#[derive(Debug)]
pub struct CrashState {
    options: Options,
    generation: AtomicU64,
    restarting_until: Mutex<Option<Instant>>,
}

impl CrashState {
    /// Starts with generation 1.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            generation: AtomicU64::new(1),
            restarting_until: Mutex::default(),
        }
    }

    /// The current generation, counted from 1.
    ///
    /// ```
    /// let state = fulmarproxy::standin::crash::CrashState::new(Default::default());
    /// assert_eq!(state.generation(), 1);
    /// ```
    pub fn generation(&self) -> u64 {
        self.generation.load(Ordering::SeqCst)
    }

    /// Whether the engine is restarting after a soft crash.
    pub fn is_restarting(&self) -> bool {
        let until = *self.restarting_until.lock().unwrap();
        until.is_some_and(|until| Instant::now() < until)
    }

    /// Whether a prompt contains the trigger.
    pub fn contains_trigger(&self, body: &str) -> bool {
        let trigger = self.options.trigger.as_deref();
        trigger.is_some_and(|trigger| body.contains(trigger))
    }

    /// Ends the process, or starts the next generation when crashes are soft.
    pub fn crash(&self) {
        if !self.options.soft {
            std::process::exit(CRASH_EXIT_CODE);
        }
        *self.restarting_until.lock().unwrap() = Some(Instant::now() + self.options.restart_time);
        self.generation.fetch_add(1, Ordering::SeqCst);
    }
}
