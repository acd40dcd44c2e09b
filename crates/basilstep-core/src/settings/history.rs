use std::collections::BTreeMap;

const MAX_JUMPS: usize = 256;

/// From which versions the removals up to the current one are known.
///
/// A process that goes from one version to a later one in a single step sees what was removed of
/// the records that it held. It does not see a record that was both created and removed in
/// between, which a peer at a version in between may hold.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    from: u64,
    jumps: BTreeMap<u64, u64>,
}

impl History {
    /// Notes a step from the version `from` to `to`; 0 stands for a process without settings.
    pub(super) fn note_jump(&mut self, from: u64, to: u64) {
        if to <= from {
            return;
        }
        if from == 0 {
            self.from = to;
            return;
        }
        self.jumps.insert(from, to);
        if self.jumps.len() > MAX_JUMPS {
            self.forget_oldest();
        }
    }

    /// Tells whether all removals since `version` are known.
    pub(super) fn covers(&self, version: u64) -> bool {
        let jump = self.jumps.range(..version).next_back();
        version >= self.from && jump.is_none_or(|(_, end)| version >= *end)
    }

    fn forget_oldest(&mut self) {
        if let Some((_, end)) = self.jumps.pop_first() {
            self.from = end;
        }
    }
}
