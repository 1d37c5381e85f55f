//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines with their time to a file. Clones write to the same file.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    /// Seconds since the start of the run.
    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Writes a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.seconds();
        let mut file = self.file.lock().unwrap_or_else(|e| e.into_inner());
        let _ = writeln!(file, "{at:8.3} {}", text.as_ref());
    }

    /// Writes a line and prints it.
    pub fn say(&self, text: impl AsRef<str>) {
        self.line(text.as_ref());
        println!("{:8.3} {}", self.seconds(), text.as_ref());
    }
}
