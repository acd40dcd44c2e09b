//! Random histories of a store, read in full, in parts or stale, and sent between processes.

use super::builders::{domain_json, state};
use crate::settings::{DomainState, SettingsEntry, SettingsState, SubtreeRead};
use proptest::{
    collection::vec,
    prelude::{Strategy, prop_oneof},
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use std::collections::BTreeMap;

const PATHS: usize = 4;
const REPLICAS: usize = 3;
const CASES: u32 = 300;

#[derive(Clone, Debug)]
enum Op {
    Write { path: usize, is_valid: bool },
    Remove { path: usize },
    Read { replica: usize, lag: usize },
    ReadSubtrees { replica: usize, lag: usize },
    SendDelta { from: usize, to: usize },
    Gossip { from: usize, to: usize, path: usize },
    Restart { replica: usize },
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => (0..PATHS, 0..4_u8).prop_map(|(path, kind)| Op::Write { path, is_valid: kind > 0 }),
        2 => (0..PATHS).prop_map(|path| Op::Remove { path }),
        3 => (0..REPLICAS, 0..4_usize).prop_map(|(replica, lag)| Op::Read { replica, lag }),
        3 => (0..REPLICAS, 0..4_usize)
            .prop_map(|(replica, lag)| Op::ReadSubtrees { replica, lag }),
        3 => (0..REPLICAS, 0..REPLICAS).prop_map(|(from, to)| Op::SendDelta { from, to }),
        2 => (0..REPLICAS, 0..REPLICAS, 0..PATHS)
            .prop_map(|(from, to, path)| Op::Gossip { from, to, path }),
        1 => (0..REPLICAS).prop_map(|replica| Op::Restart { replica }),
    ]
}

/// The contents of the store at each index, and the processes.
struct Simulation {
    history: Vec<BTreeMap<String, SettingsEntry>>,
    replicas: Vec<SettingsState>,
}

impl Simulation {
    fn new() -> Self {
        Self {
            history: vec![BTreeMap::new(); 2],
            replicas: (0..REPLICAS).map(|_| state()).collect(),
        }
    }

    fn index(&self) -> u64 {
        self.history.len() as u64 - 1
    }

    fn step(&mut self, op: &Op) {
        match *op {
            Op::Write { path, is_valid } => self.write(path, is_valid),
            Op::Remove { path } => {
                let mut next = self.history[self.history.len() - 1].clone();
                next.remove(&path_of(path));
                self.history.push(next);
            }
            Op::Read { replica, lag } => {
                let index = (self.history.len() - 1).saturating_sub(lag).max(1);
                let entries = self.history[index].values().cloned().collect();
                self.replicas[replica].apply_full_read(index as u64, entries);
            }
            Op::ReadSubtrees { replica, lag } => self.read_subtrees(replica, lag),
            Op::SendDelta { from, to } => self.send_delta(from, to),
            Op::Gossip { from, to, path } => {
                let path = path_of(path);
                let entries = self.replicas[from].entries();
                let found: Vec<SettingsEntry> =
                    entries.filter(|e| e.path == path).cloned().collect();
                for entry in found {
                    self.replicas[to].apply(entry);
                }
            }
            Op::Restart { replica } => self.replicas[replica] = state(),
        }
    }

    /// Lists the paths, then reads the changed ones.
    fn read_subtrees(&mut self, replica: usize, lag: usize) {
        let read_at = (self.history.len() - 1).saturating_sub(lag).max(1);
        let history = &self.history[..=read_at];
        let index = (0..PATHS).map(|path| last_change(history, &path_of(path)));
        let index = index.max().unwrap_or(0);
        let state = &mut self.replicas[replica];
        if state.version() == 0 || index <= state.version() {
            return;
        }
        let listed: Vec<String> = history[read_at].keys().cloned().collect();
        let mut subtrees = vec![SubtreeRead {
            prefix: "domains/".to_owned(),
            index,
            excluded_prefixes: listed.clone(),
        }];
        let mut entries = Vec::new();
        for prefix in listed {
            let changed_at = last_change(history, &prefix);
            if changed_at > state.version() {
                entries.extend(history[read_at].get(&prefix).cloned());
                subtrees.push(SubtreeRead {
                    prefix,
                    index: changed_at,
                    excluded_prefixes: Vec::new(),
                });
            }
        }
        state.apply_subtree_reads(index, &subtrees, entries);
    }

    fn write(&mut self, path: usize, is_valid: bool) {
        let path = path_of(path);
        let mut next = self.history[self.history.len() - 1].clone();
        let value = if is_valid {
            domain_json(1, DomainState::In)
        } else {
            "{".to_owned()
        };
        let entry = SettingsEntry {
            path: path.clone(),
            version: self.index() + 1,
            value: Some(value),
        };
        next.insert(path, entry);
        self.history.push(next);
    }

    fn send_delta(&mut self, from: usize, to: usize) {
        let above = self.replicas[to].version();
        let (base, entries) = self.replicas[from].changes_since(above);
        let version = self.replicas[from].version();
        self.replicas[to].apply_changes(base, version, entries);
    }

    /// Checks that a process knows all changes up to its version.
    fn check_complete(&self, replica: &SettingsState) {
        let expected = &self.history[replica.version() as usize];
        for path in (0..PATHS).map(path_of) {
            let newest = newest(replica, &path);
            if newest
                .as_ref()
                .is_some_and(|e| e.version > replica.version())
            {
                continue;
            }
            let stored = newest.filter(|entry| entry.value.is_some());
            assert_eq!(stored.as_ref(), expected.get(&path), "{path}");
            let is_valid = expected
                .get(&path)
                .is_some_and(|e| e.value.as_deref() != Some("{"));
            let name = path.trim_start_matches("domains/");
            let is_in_force = replica.view().domains.contains_key(name);
            assert!(is_in_force || !is_valid, "{path} is not in force");
            assert!(
                !is_in_force || expected.contains_key(&path),
                "{path} was removed"
            );
        }
    }
}

fn last_change(history: &[BTreeMap<String, SettingsEntry>], path: &str) -> u64 {
    let steps = history.windows(2).enumerate();
    let mut changed = steps.filter(|(_, pair)| pair[0].get(path) != pair[1].get(path));
    changed.next_back().map_or(0, |(at, _)| at as u64 + 1)
}

fn path_of(path: usize) -> String {
    format!("domains/d{path}")
}

fn newest(replica: &SettingsState, path: &str) -> Option<SettingsEntry> {
    let entries = replica.entries().filter(|entry| entry.path == path);
    entries.max_by_key(|entry| entry.version).cloned()
}

fn versions(replica: &SettingsState) -> BTreeMap<String, u64> {
    let mut versions = BTreeMap::from([("all".to_owned(), replica.version())]);
    for entry in replica.entries() {
        let version = versions.entry(entry.path.clone()).or_default();
        *version = entry.version.max(*version);
    }
    versions
}

#[test]
fn versions_never_decrease_and_a_version_implies_all_earlier_changes() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng)
        .run(&vec(op(), 1..60), |ops| {
            let mut simulation = Simulation::new();
            for op in ops {
                let before: Vec<_> = simulation.replicas.iter().map(versions).collect();
                simulation.step(&op);
                for (replica, before) in simulation.replicas.iter().zip(before) {
                    let is_restart = matches!(op, Op::Restart { .. });
                    let after = versions(replica);
                    let has_decreased = before
                        .iter()
                        .any(|(path, version)| after.get(path).unwrap_or(&0) < version);
                    assert!(
                        is_restart || !has_decreased,
                        "{before:?} decreased to {after:?}"
                    );
                    simulation.check_complete(replica);
                }
            }
            Ok(())
        })
        .unwrap();
}
