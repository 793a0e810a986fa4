//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

/// Lines with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(BufWriter::new(File::create(path)?))),
            began: Instant::now(),
        })
    }

    /// Adds a line.
    pub fn add(&self, line: &str) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let at = self.began.elapsed().as_secs_f64();
        // A record that can't be written fails at its end.
        let _ = writeln!(file, "{at:8.3} {line}");
    }

    /// Adds a line and prints it.
    pub fn say(&self, line: &str) {
        println!("{line}");
        self.add(line);
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = file.flush();
    }
}
