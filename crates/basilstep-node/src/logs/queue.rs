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

/// The maximum number of lines that wait for the writer thread.
const MAX_QUEUED_LINES: usize = 1_024;

/// How long a process waits for the writer thread before it exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

enum Entry {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// A bounded queue of log lines and the thread that writes them.
#[derive(Debug)]
pub struct LineQueue {
    entries: SyncSender<Entry>,
    dropped: AtomicU64,
}

impl LineQueue {
    /// Starts the thread that writes to `output`.
    ///
    /// # Panics
    ///
    /// Panics when the operating system cannot start the thread.
    pub fn spawn(output: impl Write + Send + 'static) -> Self {
        let (entries, receiver) = sync_channel(MAX_QUEUED_LINES);
        thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || write_all(output, &receiver))
            .expect("the operating system starts a thread");
        Self {
            entries,
            dropped: AtomicU64::new(0),
        }
    }

    /// Queues one line, or drops it when the queue is full.
    pub fn push(&self, line: Vec<u8>) {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let notice = format!("{{\"message\":\"log lines dropped\",\"count\":{dropped}}}\n");
            if self.entries.try_send(Entry::Line(notice.into())).is_err() {
                self.dropped.fetch_add(dropped, Ordering::Relaxed);
            }
        }
        if self.entries.try_send(Entry::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until the queued lines are written, or until [`FLUSH_TIMEOUT`] has passed.
    pub fn flush(&self) {
        let (flushed, flush_result) = sync_channel(1);
        if self.entries.try_send(Entry::Flush(flushed)).is_ok() {
            // A blocked writer thread must not prevent the process from exiting.
            let _ = flush_result.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Passes each line that a logger writes to a [`LineQueue`].
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

fn write_all(mut output: impl Write, receiver: &Receiver<Entry>) {
    while let Ok(entry) = receiver.recv() {
        match entry {
            // A failed write to standard output cannot be reported anywhere.
            Entry::Line(line) => drop(output.write_all(&line)),
            Entry::Flush(flushed) => {
                let _ = output.flush();
                let _ = flushed.send(());
            }
        }
    }
}
