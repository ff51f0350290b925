//! Crashes on a marked prompt: of the whole process, or of its streams alone.

use std::{
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

/// Exit status of a process that crashed on a marked prompt.
pub const CRASH_STATUS: i32 = 70;

/// When and how an engine crashes.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Text whose presence in a prompt crashes the engine.
    pub on: Option<String>,
    /// Whether only the streams break, and the process lives on.
    pub soft: bool,
    /// Time from a soft crash until the engine accepts requests again.
    pub restart: Duration,
}

/// Crashes so far; each begins a new generation.
#[derive(Debug)]
pub struct Crashes {
    options: Options,
    generation: AtomicU64,
    down_until: Mutex<Option<Instant>>,
}

impl Crashes {
    /// Makes the first generation.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            generation: AtomicU64::new(1),
            down_until: Mutex::default(),
        }
    }

    /// Number of the present generation, from 1.
    ///
    /// ```
    /// let crashes = fulmarproxy::standin::crash::Crashes::new(Default::default());
    /// assert_eq!(crashes.generation(), 1);
    /// ```
    pub fn generation(&self) -> u64 {
        self.generation.load(Ordering::SeqCst)
    }

    /// Whether the engine is still restarting.
    pub fn is_down(&self) -> bool {
        let until = *self.down_until.lock().unwrap();
        until.is_some_and(|until| Instant::now() < until)
    }

    /// Whether a prompt crashes the engine.
    pub fn is_marked(&self, body: &str) -> bool {
        let on = self.options.on.as_deref();
        on.is_some_and(|on| body.contains(on))
    }

    /// Crashes: ends the process, or begins the next generation.
    pub fn crash(&self) {
        if !self.options.soft {
            std::process::exit(CRASH_STATUS);
        }
        *self.down_until.lock().unwrap() = Some(Instant::now() + self.options.restart);
        self.generation.fetch_add(1, Ordering::SeqCst);
    }
}
