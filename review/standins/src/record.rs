//! The record of a case: one line for each thing that was sent, answered, run or disrupted.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Writes lines with the time since the start. Clones write to the same file.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates `record.txt` in the working directory.
    pub fn create() -> std::io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create("record.txt")?)),
        })
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes one line.
    pub fn line(&self, text: impl AsRef<str>) {
        let time = self.now().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{time:9.3} {}", text.as_ref());
        }
    }

    /// Writes one line, and prints it as well.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{:9.3} {}", self.now().as_secs_f64(), text.as_ref());
        self.line(text);
    }
}
