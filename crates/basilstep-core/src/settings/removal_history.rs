use std::collections::BTreeMap;

/// The maximum number of steps that are remembered.
const MAX_HISTORY_STEPS: usize = 256;

/// Tracks since which versions all removals up to the current version are known.
///
/// A process that moves from one version to a later one in a single step learns which of its
/// records were removed. It does not learn of a record that was both created and removed in
/// between, which a peer at an intermediate version may still have.
#[derive(Clone, Debug, Default)]
pub(super) struct RemovalHistory {
    /// The earliest version since which all steps are remembered.
    known_from: u64,
    /// The last version of each step by its first version.
    steps: BTreeMap<u64, u64>,
}

impl RemovalHistory {
    /// Records a step from version `from` to version `to`; 0 stands for a process without settings.
    pub(super) fn record_step(&mut self, from: u64, to: u64) {
        if to <= from {
            return;
        }
        if from == 0 {
            self.known_from = to;
            return;
        }
        self.steps.insert(from, to);
        if self.steps.len() > MAX_HISTORY_STEPS {
            self.forget_oldest_step();
        }
    }

    /// Returns whether all removals since `version` are known.
    pub(super) fn covers(&self, version: u64) -> bool {
        let step = self.steps.range(..version).next_back();
        version >= self.known_from && step.is_none_or(|(_, end)| version >= *end)
    }

    fn forget_oldest_step(&mut self) {
        if let Some((_, end)) = self.steps.pop_first() {
            self.known_from = end;
        }
    }
}
