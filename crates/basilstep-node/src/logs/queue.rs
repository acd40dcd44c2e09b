use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::Duration,
};

/// How many lines may wait for the writer.
const QUEUED_LINES: usize = 1_024;

/// How long a process that ends waits for the writer.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

enum Entry {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// A bounded queue of lines with a thread that writes them.
#[derive(Debug)]
pub struct LineQueue {
    entries: SyncSender<Entry>,
    left_out: AtomicU64,
}

impl LineQueue {
    /// Starts the thread that writes to `output`.
    ///
    /// # Panics
    ///
    /// Panics when the operating system refuses a thread.
    pub fn spawn(output: impl Write + Send + 'static) -> Self {
        let (entries, queued) = sync_channel(QUEUED_LINES);
        thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || write_all(output, &queued))
            .expect("the operating system starts a thread");
        Self {
            entries,
            left_out: AtomicU64::new(0),
        }
    }

    /// Queues one line, or leaves it out when the queue is full.
    pub fn push(&self, line: Vec<u8>) {
        let left_out = self.left_out.swap(0, Ordering::Relaxed);
        if left_out > 0 {
            let notice = format!("{{\"message\":\"log lines left out\",\"count\":{left_out}}}\n");
            if self.entries.try_send(Entry::Line(notice.into())).is_err() {
                self.left_out.fetch_add(left_out, Ordering::Relaxed);
            }
        }
        if self.entries.try_send(Entry::Line(line)).is_err() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until the lines so far are written, or [`FLUSH_TIMEOUT`] has passed.
    pub fn flush(&self) {
        let (done, is_done) = sync_channel(1);
        if self.entries.try_send(Entry::Flush(done)).is_ok() {
            // A writer that is stuck must not keep the process from ending.
            let _ = is_done.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Passes each line that a logger writes to a queue.
#[derive(Debug)]
pub struct QueueWriter {
    queue: Arc<LineQueue>,
}

impl QueueWriter {
    /// Creates a writer for `queue`.
    pub const fn new(queue: Arc<LineQueue>) -> Self {
        Self { queue }
    }
}

impl Write for QueueWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.queue.push(line.to_vec());
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_all(mut output: impl Write, queued: &Receiver<Entry>) {
    while let Ok(entry) = queued.recv() {
        match entry {
            // There is nowhere left to report that standard output is gone.
            Entry::Line(line) => drop(output.write_all(&line)),
            Entry::Flush(done) => {
                let _ = output.flush();
                let _ = done.send(());
            }
        }
    }
}
