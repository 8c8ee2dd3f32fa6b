//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    pub fn create(folder: &str) -> std::io::Result<Self> {
        let file = File::create(format!("{folder}/record.txt"))?;
        Ok(Self(Arc::new((Mutex::new(file), Instant::now()))))
    }

    /// Writes a line with the seconds since the start.
    pub fn line(&self, text: impl AsRef<str>) {
        let (file, began) = &*self.0;
        let line = format!("{:8.3} {}\n", began.elapsed().as_secs_f64(), text.as_ref());
        let _ = file.lock().unwrap().write_all(line.as_bytes());
    }
}
