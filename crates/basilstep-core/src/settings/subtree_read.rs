/// A consistent read of one subtree of the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SubtreeRead {
    /// The prefix of the paths in the subtree.
    pub prefix: String,
    /// The index of the store for the prefix.
    pub index: u64,
    /// The prefixes below it that exist but were not read with it.
    pub excluded_prefixes: Vec<String>,
}

impl SubtreeRead {
    /// Returns whether the read shows that a record missing from it has been removed.
    pub(super) fn implies_removal(&self, path: &str, version: u64) -> bool {
        let mut excluded = self.excluded_prefixes.iter();
        version < self.index
            && path.starts_with(&self.prefix)
            && !excluded.any(|part| path.starts_with(part))
    }
}
