//! `record.txt`: what was sent, answered and run.

use std::{fs::File, io::Write, path::Path, sync::Mutex, time::Instant};

#[derive(Debug)]
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    /// Writes a line to the record and to standard output.
    pub fn line(&self, text: &str) {
        println!("{:9.3} {text}", self.started.elapsed().as_secs_f64());
        self.quiet(text);
    }

    /// Writes a line to the record only.
    pub fn quiet(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.3} {text}");
    }
}
