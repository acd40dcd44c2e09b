//! The record of a run: what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone, Debug)]
pub struct Record {
    shared: Arc<(Mutex<File>, Instant)>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self {
            shared: Arc::new((Mutex::new(file), Instant::now())),
        }
    }

    pub fn ms(&self) -> u64 {
        self.shared.1.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at_ms = self.ms();
        let line = format!("{:7.3} {}\n", at_ms as f64 / 1_000.0, text.as_ref());
        let mut file = self.shared.0.lock().unwrap();
        file.write_all(line.as_bytes())
            .expect("record.txt can be written");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}
