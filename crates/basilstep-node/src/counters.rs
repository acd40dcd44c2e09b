//! Counters of result codes, shared by the tasks of a process.

use basilstep_core::codes::ResultCode;
use std::{
    collections::BTreeMap,
    sync::atomic::{AtomicU64, Ordering},
};

/// All result codes are below this number.
const RESULT_CODE_LIMIT: usize = 700;

/// Counts the occurrences of each result code without locks.
#[derive(Debug)]
pub struct CodeCounters {
    counts: Vec<AtomicU64>,
}

impl Default for CodeCounters {
    fn default() -> Self {
        Self {
            counts: (0..RESULT_CODE_LIMIT).map(|_| AtomicU64::new(0)).collect(),
        }
    }
}

impl CodeCounters {
    /// Adds one occurrence of a code.
    pub fn increment(&self, code: ResultCode) {
        if let Some(counter) = self.counts.get(usize::from(code.number())) {
            counter.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the count of one code.
    pub fn get(&self, code: ResultCode) -> u64 {
        self.counts
            .get(usize::from(code.number()))
            .map_or(0, |counter| counter.load(Ordering::Relaxed))
    }

    /// Returns the counts that are not zero, by the name of the code, for a dump.
    pub fn snapshot(&self) -> BTreeMap<String, u64> {
        ResultCode::ALL
            .iter()
            .map(|code| (code.to_string(), self.get(*code)))
            .filter(|(_, count)| *count > 0)
            .collect()
    }
}
