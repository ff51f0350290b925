//! CrashState on a marked prompt: of the whole process, or of its streams alone.

use std::{
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

/// Exit status of a process that crashed on a marked prompt.
pub const CRASH_EXIT_CODE: i32 = 70;

/// When and how an engine crashes.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Text whose presence in a prompt crashes the engine.
    pub trigger: Option<String>,
    /// Whether only the streams break, and the process lives on.
    pub soft: bool,
    /// Time from a soft crash until the engine accepts requests again.
    pub restart_time: Duration,
}

/// Crashes so far; each begins a new generation.
#[derive(Debug)]
pub struct CrashState {
    options: Options,
    generation: AtomicU64,
    restarting_until: Mutex<Option<Instant>>,
}

impl CrashState {
    /// Makes the first generation.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            generation: AtomicU64::new(1),
            restarting_until: Mutex::default(),
        }
    }

    /// Number of the present generation, from 1.
    ///
    /// ```
    /// let state = fulmarproxy::standin::crash::CrashState::new(Default::default());
    /// assert_eq!(state.generation(), 1);
    /// ```
    pub fn generation(&self) -> u64 {
        self.generation.load(Ordering::SeqCst)
    }

    /// Whether the engine is still restarting.
    pub fn is_restarting(&self) -> bool {
        let until = *self.restarting_until.lock().unwrap();
        until.is_some_and(|until| Instant::now() < until)
    }

    /// Whether a prompt crashes the engine.
    pub fn contains_trigger(&self, body: &str) -> bool {
        let trigger = self.options.trigger.as_deref();
        trigger.is_some_and(|trigger| body.contains(trigger))
    }

    /// Crashes: ends the process, or begins the next generation.
    pub fn crash(&self) {
        if !self.options.soft {
            std::process::exit(CRASH_EXIT_CODE);
        }
        *self.restarting_until.lock().unwrap() = Some(Instant::now() + self.options.restart_time);
        self.generation.fetch_add(1, Ordering::SeqCst);
    }
}
