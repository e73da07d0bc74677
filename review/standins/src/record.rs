//! The record of a case: what was sent, answered and run, with times since the start of the case.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A record, shared by all threads of a case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Creates the file of the record.
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be created");
        Self { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    /// Returns the seconds since the start of the case.
    pub fn now_s(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("no thread panics with the lock");
        // The verdict does not depend on the record.
        let _ = writeln!(file, "{:9.3} {text}", self.now_s());
    }
}
