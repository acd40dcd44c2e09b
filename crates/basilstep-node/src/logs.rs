//! Logs as JSON lines on standard error.

use log::LevelFilter;
use structured_logger::{Builder, json::new_writer};

/// Starts logging at `level`; a second call has no effect.
pub fn start(level: LevelFilter) {
    let logger = Builder::with_level(level.as_str())
        .with_default_writer(new_writer(std::io::stderr()))
        .build();
    if log::set_boxed_logger(Box::new(logger)).is_ok() {
        log::set_max_level(level);
    }
}
