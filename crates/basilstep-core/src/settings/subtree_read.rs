/// A part of the store that was read at one moment.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SubtreeRead {
    /// What the paths in it start with.
    pub prefix: String,
    /// The store's index for the prefix.
    pub index: u64,
    /// The parts of it that were there and were not read with it.
    pub excluded_prefixes: Vec<String>,
}

impl SubtreeRead {
    /// Tells whether a record that was not read is no longer there.
    pub(super) fn implies_removal(&self, path: &str, version: u64) -> bool {
        let mut excluded = self.excluded_prefixes.iter();
        version < self.index
            && path.starts_with(&self.prefix)
            && !excluded.any(|part| path.starts_with(part))
    }
}
