//! The record of a case: what was sent, answered and run, and which rule was broken.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Mutex, PoisonError},
    time::Instant,
};

pub struct Record {
    started: Instant,
    file: Mutex<File>,
    broken: Mutex<Vec<String>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Mutex::new(File::create(path)?),
            broken: Mutex::new(Vec::new()),
        })
    }

    /// Writes a line with the time since the start, in ms.
    pub fn line(&self, text: &str) {
        let ms = self.started.elapsed().as_millis();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{ms:>7} {text}");
    }

    /// Notes that a rule was broken.
    pub fn broken(&self, what: &str) {
        self.line(&format!("BROKEN {what}"));
        let mut broken = self.broken.lock().unwrap_or_else(PoisonError::into_inner);
        broken.push(what.to_owned());
    }

    pub fn broken_count(&self) -> usize {
        self.broken
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .len()
    }
}
