//! Reads only the subtrees that changed, so that a change transfers kilobytes instead of the full
//! tree.

use super::{
    Store,
    types::{Listing, StoreError, TreeSnapshot},
};
use basilstep_core::settings::SubtreeRead;
use futures::future::try_join_all;

/// How often a read is attempted while other writes change the tree.
const MAX_READ_ATTEMPTS: u32 = 3;

/// Reads the subtrees of `prefix` that changed after `known_index`; `root` is the listing that
/// reported the change.
///
/// The result is consistent: the index of the prefix is the same before and after the read.
///
/// # Errors
///
/// Returns [`StoreError`] when one of the calls fails, or the tree keeps changing.
pub(super) async fn read_changed_subtrees<S: Store>(
    store: &S,
    prefix: &str,
    known_index: u64,
    root: Listing,
) -> Result<TreeSnapshot, StoreError> {
    let mut before = root;
    for _ in 0..MAX_READ_ATTEMPTS {
        let snapshot = read_once(store, prefix, known_index, before).await?;
        let after = store.list(prefix).await?;
        if after.index == snapshot.index {
            return Ok(snapshot);
        }
        before = after;
    }
    let reason = "the tree keeps changing".to_owned();
    Err(StoreError::Unavailable { reason })
}

async fn read_once<S: Store>(
    store: &S,
    prefix: &str,
    known_index: u64,
    root: Listing,
) -> Result<TreeSnapshot, StoreError> {
    let mut snapshot = TreeSnapshot {
        index: root.index,
        subtrees: Some(Vec::new()),
        ..TreeSnapshot::default()
    };
    let mut level = vec![(prefix.to_owned(), root)];
    while !level.is_empty() {
        let (branches, leaves): (Vec<_>, Vec<_>) = level
            .into_iter()
            .partition(|(_, listing)| has_only_subtrees(listing));
        let subtree_snapshots =
            try_join_all(leaves.iter().map(|(subtree, _)| store.read_tree(subtree))).await?;
        for ((subtree, _), subtree_snapshot) in leaves.iter().zip(subtree_snapshots) {
            snapshot.add_subtree(prefix, subtree, subtree_snapshot);
        }
        for (subtree, listing) in &branches {
            snapshot.add_listing(prefix, subtree, listing);
        }
        let children = branches
            .into_iter()
            .flat_map(|(_, listing)| listing.children);
        level = list_changed(store, children.collect(), known_index).await?;
    }
    Ok(snapshot)
}

async fn list_changed<S: Store>(
    store: &S,
    prefixes: Vec<String>,
    known_index: u64,
) -> Result<Vec<(String, Listing)>, StoreError> {
    let listings = try_join_all(prefixes.iter().map(|prefix| store.list(prefix))).await?;
    Ok(prefixes
        .into_iter()
        .zip(listings)
        .filter(|(_, listing)| listing.index > known_index)
        .collect())
}

fn has_only_subtrees(listing: &Listing) -> bool {
    let mut children = listing.children.iter();
    !listing.children.is_empty() && children.all(|child| child.ends_with('/'))
}

impl TreeSnapshot {
    fn add_subtree(&mut self, root: &str, subtree: &str, subtree_snapshot: TreeSnapshot) {
        let prefix = strip_root(root, subtree);
        for mut entry in subtree_snapshot.entries {
            entry.path.insert_str(0, &prefix);
            self.entries.push(entry);
        }
        self.subtrees.get_or_insert_default().push(SubtreeRead {
            prefix,
            index: subtree_snapshot.index,
            excluded_prefixes: Vec::new(),
        });
    }

    /// Marks a subtree as read except for its listed children: any other key below it has been
    /// deleted, such as the last service of a team.
    fn add_listing(&mut self, root: &str, subtree: &str, listing: &Listing) {
        let children = listing.children.iter();
        self.subtrees.get_or_insert_default().push(SubtreeRead {
            prefix: strip_root(root, subtree),
            index: listing.index,
            excluded_prefixes: children.map(|child| strip_root(root, child)).collect(),
        });
    }
}

fn strip_root(root: &str, key: &str) -> String {
    key.strip_prefix(root).unwrap_or(key).to_owned()
}
