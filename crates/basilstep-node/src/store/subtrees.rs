//! Reads only the subtrees that changed, so that a change costs kilobytes and not the whole tree.

use super::{
    Store,
    messages::{Listing, StoreError, TreeSnapshot},
};
use basilstep_core::settings::Subtree;
use futures::future::try_join_all;

/// How often a reading begins again because something changed meanwhile.
const MAX_ROUNDS: u32 = 3;

/// Reads what changed below `prefix` after `known_index`; `woken` is what ended the wait.
///
/// The result is the tree at one moment: the index of the prefix is the same before and after.
///
/// # Errors
///
/// Returns [`StoreError`] when one of the calls fails, or the tree keeps changing.
pub(super) async fn read_changed<S: Store>(
    store: &S,
    prefix: &str,
    known_index: u64,
    woken: Listing,
) -> Result<TreeSnapshot, StoreError> {
    let mut before = woken;
    for _ in 0..MAX_ROUNDS {
        let reading = read_round(store, prefix, known_index, before).await?;
        let after = store.list(prefix).await?;
        if after.index == reading.index {
            return Ok(reading);
        }
        before = after;
    }
    let reason = "the tree keeps changing".to_owned();
    Err(StoreError::Unavailable { reason })
}

async fn read_round<S: Store>(
    store: &S,
    prefix: &str,
    known_index: u64,
    root: Listing,
) -> Result<TreeSnapshot, StoreError> {
    let mut reading = TreeSnapshot {
        index: root.index,
        subtrees: Some(Vec::new()),
        ..TreeSnapshot::default()
    };
    let mut level = vec![(prefix.to_owned(), root)];
    while !level.is_empty() {
        let (inner, outer): (Vec<_>, Vec<_>) = level
            .into_iter()
            .partition(|(_, listing)| has_only_subtrees(listing));
        let found = try_join_all(outer.iter().map(|(subtree, _)| store.read_tree(subtree))).await?;
        for ((subtree, _), found) in outer.iter().zip(found) {
            reading.add(prefix, subtree, found);
        }
        for (subtree, listing) in &inner {
            reading.add_listing(prefix, subtree, listing);
        }
        let children = inner.into_iter().flat_map(|(_, listing)| listing.children);
        level = list_changed(store, children.collect(), known_index).await?;
    }
    Ok(reading)
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
    fn add(&mut self, root: &str, subtree: &str, found: TreeSnapshot) {
        let prefix = below(root, subtree);
        for mut entry in found.entries {
            entry.path.insert_str(0, &prefix);
            self.entries.push(entry);
        }
        self.subtrees.get_or_insert_default().push(Subtree {
            prefix,
            index: found.index,
            except: Vec::new(),
        });
    }

    /// What is not listed has been removed, such as the last service of a team.
    fn add_listing(&mut self, root: &str, subtree: &str, listing: &Listing) {
        let children = listing.children.iter();
        self.subtrees.get_or_insert_default().push(Subtree {
            prefix: below(root, subtree),
            index: listing.index,
            except: children.map(|child| below(root, child)).collect(),
        });
    }
}

fn below(root: &str, key: &str) -> String {
    key.strip_prefix(root).unwrap_or(key).to_owned()
}
