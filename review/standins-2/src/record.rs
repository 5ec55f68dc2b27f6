//! What was sent, answered and run, line by line.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    pub fn begin(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Mutex::new(File::create(path)?),
            began: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _written = writeln!(file, "{at:8.3} s  {text}");
    }

    /// A line about something that was at `at`.
    pub fn line_at(&self, at: Instant, text: &str) {
        let at = at.saturating_duration_since(self.began).as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _written = writeln!(file, "{at:8.3} s  {text}");
    }
}
