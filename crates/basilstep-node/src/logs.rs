//! Logs as JSON lines, either on standard error or, without ever blocking, on standard output.

mod queue;

use log::{LevelFilter, Log};
use queue::LineQueue;
use std::{
    io,
    sync::{Arc, OnceLock},
};
use structured_logger::{Builder, json::new_writer};

static QUEUE: OnceLock<Arc<LineQueue>> = OnceLock::new();

/// Starts logging at `level`; a second call has no effect.
pub fn start(level: LevelFilter) {
    let logger = Builder::with_level(level.as_str())
        .with_default_writer(new_writer(io::stderr()))
        .build();
    install(Box::new(logger), level);
}

/// Starts logging on standard output at `level`; a second call has no effect.
///
/// Lines pass through a bounded queue to a thread that writes them. When the queue is full, lines
/// are dropped, and a later line reports their number.
pub fn start_on_stdout(level: LevelFilter) {
    let queue = Arc::clone(QUEUE.get_or_init(|| Arc::new(LineQueue::spawn(io::stdout()))));
    let logger = Builder::with_level(level.as_str())
        .with_default_writer(new_writer(queue::QueueWriter::new(queue)))
        .build();
    install(Box::new(logger), level);
}

/// Waits until the queued lines are written, or until a short timeout.
pub fn flush() {
    if let Some(queue) = QUEUE.get() {
        queue.flush();
    }
}

fn install(logger: Box<dyn Log>, level: LevelFilter) {
    if log::set_boxed_logger(logger).is_ok() {
        log::set_max_level(level);
    }
}
