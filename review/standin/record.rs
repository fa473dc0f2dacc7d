//! The record of a case: what was sent, answered and run, each with its time in ms.

use std::{
    fs::File,
    io::Write,
    sync::Mutex,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

#[derive(Debug)]
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            began: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    /// Returns the time since the start, in ms.
    pub fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let _ = writeln!(self.file.lock().unwrap(), "{:>7} {text}", self.now());
    }
}

/// Returns the time of day, in Unix ms.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}
