//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines to the record of a run, each with the milliseconds since its start.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file, or empties it.
    ///
    /// # Panics
    ///
    /// If the file can't be written.
    #[must_use]
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Record {
            began: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Milliseconds since the start of the run.
    #[must_use]
    pub fn now_ms(&self) -> u128 {
        self.began.elapsed().as_millis()
    }

    /// Writes one line.
    ///
    /// # Panics
    ///
    /// If the file can't be written.
    pub fn line(&self, text: &str) {
        let line = format!("{:>6} {text}\n", self.now_ms());
        let mut file = self.file.lock().expect("no writer panics");
        file.write_all(line.as_bytes())
            .expect("the record can be written");
    }

    /// Writes one line, and prints it.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
