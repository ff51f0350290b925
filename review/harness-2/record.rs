//! The record of a run: what was sent, answered and run, with the time since the run began.

use std::{
    fs::File,
    io::Write,
    sync::Mutex,
    time::{Duration, Instant},
};

pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        let file = Mutex::new(File::create(path)?);
        Ok(Record {
            began: Instant::now(),
            file,
        })
    }

    /// Time since the run began.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn note(&self, line: &str) {
        let at = self.now().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} s  {line}");
    }

    /// A line of the result, which is also printed.
    pub fn result(&self, line: &str) {
        self.note(line);
        println!("{line}");
    }
}
