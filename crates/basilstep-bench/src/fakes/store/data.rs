//! The contents of the fake store: records, sessions and the snapshot for stale reads.

use super::StoreFault;
use base64::{Engine, prelude::BASE64_STANDARD};
use reqwest::Url;
use serde::Serialize;
use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

const DEFAULT_WAIT_MS: u64 = 300_000;

/// The counts of calls that the store has served.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Reads; a blocking read counts once.
    pub reads: u64,
    /// Writes, deletions and session calls.
    pub writes: u64,
    /// Blocking reads that are waiting now.
    pub waiting_watches: u64,
}

/// The complete state of the store.
#[derive(Debug, Default)]
pub(super) struct Data {
    pub(super) tree: Tree,
    pub(super) snapshot: Option<Tree>,
    sessions: BTreeMap<String, Session>,
    next_session: u64,
    /// The faults that are switched on, each with its delay in ms.
    pub(super) faults: BTreeMap<StoreFault, u64>,
    pub(super) counts: Counts,
}

/// The records, and the index at which removed keys were removed.
#[derive(Clone, Debug)]
pub(super) struct Tree {
    index: u64,
    records: BTreeMap<String, Record>,
    removed: BTreeMap<String, u64>,
}

#[derive(Clone, Debug)]
struct Record {
    value: Vec<u8>,
    create_index: u64,
    modify_index: u64,
    lock_index: u64,
    session: Option<String>,
}

#[derive(Debug)]
struct Session {
    ttl: Duration,
    expires_at: Instant,
}

impl Data {
    /// Handles a `PUT` or `DELETE`; returns `None` if the session in the query has ended.
    pub(super) fn write(&mut self, query: &Query, value: &[u8], is_delete: bool) -> Option<bool> {
        self.counts.writes += 1;
        let current = self.tree.records.get(&query.key);
        let current = current.map_or(0, |record| record.modify_index);
        if query.number("cas").is_some_and(|cas| cas != current) {
            return Some(false);
        }
        if is_delete {
            self.remove(&query.key);
            return Some(true);
        }
        let session = query.parameters.get("acquire").map(String::as_str);
        if session.is_some_and(|id| !self.sessions.contains_key(id)) {
            return None;
        }
        Some(self.put(&query.key, value.to_vec(), session))
    }

    /// Writes a record; returns `false` if another session holds it.
    pub(super) fn put(&mut self, key: &str, value: Vec<u8>, session: Option<&str>) -> bool {
        let tree = &mut self.tree;
        let held = tree.records.get(key).and_then(|old| old.session.clone());
        if session.is_some() && held.is_some() && held.as_deref() != session {
            return false;
        }
        tree.index += 1;
        let newly_locked = session.is_some() && held.is_none();
        let record = tree.records.entry(key.to_owned()).or_insert(Record {
            value: Vec::new(),
            create_index: tree.index,
            modify_index: 0,
            lock_index: 0,
            session: None,
        });
        record.value = value;
        record.modify_index = tree.index;
        record.lock_index += u64::from(newly_locked);
        record.session = session.map(str::to_owned).or(held);
        tree.removed.remove(key);
        true
    }

    fn remove(&mut self, key: &str) {
        if self.tree.records.remove(key).is_some() {
            self.tree.index += 1;
            self.tree.removed.insert(key.to_owned(), self.tree.index);
        }
    }

    /// Returns the index of the last write.
    pub(super) fn index(&self) -> u64 {
        self.tree.index
    }

    /// Ends all sessions and removes the records that they hold.
    pub(super) fn end_all_sessions(&mut self) {
        self.end_sessions(|_| true);
    }

    /// Ends the sessions that were not renewed in time and removes the records that they hold.
    pub(super) fn end_expired_sessions(&mut self, now: Instant) {
        self.end_sessions(|session| session.expires_at <= now);
    }

    fn end_sessions(&mut self, is_over: impl Fn(&Session) -> bool) {
        let over: Vec<String> = self
            .sessions
            .iter()
            .filter(|(_, session)| is_over(session))
            .map(|(id, _)| id.clone())
            .collect();
        for id in over {
            self.end_session(&id);
        }
    }

    /// Ends a session and removes the records that it holds.
    pub(super) fn end_session(&mut self, id: &str) {
        self.sessions.remove(id);
        let held: Vec<String> = self
            .tree
            .records
            .iter()
            .filter(|(_, record)| record.session.as_deref() == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        for key in held {
            self.remove(&key);
        }
    }

    /// Starts a session and returns its id.
    pub(super) fn create_session(&mut self, ttl: Duration) -> String {
        self.next_session += 1;
        let id = format!("00000000-0000-4000-8000-{:012x}", self.next_session);
        let expires_at = Instant::now() + ttl;
        self.sessions
            .insert(id.clone(), Session { ttl, expires_at });
        id
    }

    /// Renews a session; returns `false` if it has ended.
    pub(super) fn renew_session(&mut self, id: &str) -> bool {
        let refused = self.faults.contains_key(&StoreFault::LapsedLeases);
        let Some(session) = self.sessions.get_mut(id).filter(|_| !refused) else {
            return false;
        };
        session.expires_at = Instant::now() + session.ttl;
        true
    }

    /// Returns the index and the records that match a query.
    pub(super) fn read(&self, query: &Query) -> (u64, Vec<Value>) {
        self.snapshot.as_ref().unwrap_or(&self.tree).read(query)
    }
}

impl Default for Tree {
    /// Starts at index 1, because the API reserves index 0 for reads that do not wait.
    fn default() -> Self {
        Self::restored(1)
    }
}

impl Tree {
    /// Creates an empty tree at `index`, as after a restore from a backup.
    pub(super) fn restored(index: u64) -> Self {
        Self {
            index,
            records: BTreeMap::new(),
            removed: BTreeMap::new(),
        }
    }

    fn read(&self, query: &Query) -> (u64, Vec<Value>) {
        let found: Vec<(&String, &Record)> = self
            .records
            .iter()
            .filter(|(key, _)| query.matches(key))
            .collect();
        let removed = self
            .removed
            .iter()
            .filter(|(key, _)| query.matches(key))
            .map(|(_, index)| *index);
        let newest = found
            .iter()
            .map(|(_, record)| record.modify_index)
            .chain(removed)
            .max();
        let entries = if query.has("keys") {
            query.list_keys(found.into_iter().map(|(key, _)| key))
        } else {
            found
                .into_iter()
                .map(|(key, record)| record.to_json(key))
                .collect()
        };
        (newest.unwrap_or(self.index), entries)
    }
}

impl Record {
    fn to_json(&self, key: &str) -> Value {
        json!({
            "Key": key,
            "Value": BASE64_STANDARD.encode(&self.value),
            "CreateIndex": self.create_index,
            "ModifyIndex": self.modify_index,
            "LockIndex": self.lock_index,
            "Session": self.session,
            "Flags": 0,
        })
    }
}

/// The key and the parameters of a request.
#[derive(Debug)]
pub(super) struct Query {
    pub(super) key: String,
    recurse: bool,
    pub(super) parameters: BTreeMap<String, String>,
}

impl Query {
    /// Reads the query string of a request for `key`.
    pub(super) fn parse(key: &str, query: Option<&str>) -> Self {
        let url = format!("http://store/?{}", query.unwrap_or_default());
        let parameters: BTreeMap<String, String> = Url::parse(&url)
            .map(|url| url.query_pairs().into_owned().collect())
            .unwrap_or_default();
        Self {
            key: key.to_owned(),
            recurse: parameters.contains_key("recurse") || parameters.contains_key("keys"),
            parameters,
        }
    }

    /// Truncates keys after the first separator that follows the prefix and removes duplicates.
    fn list_keys<'a>(&self, keys: impl Iterator<Item = &'a String>) -> Vec<Value> {
        let separator = self.parameters.get("separator").map_or("", String::as_str);
        let cut: BTreeSet<&str> = keys
            .map(|key| match key[self.key.len()..].find(separator) {
                Some(at) if !separator.is_empty() => &key[..=self.key.len() + at],
                _ => key.as_str(),
            })
            .collect();
        cut.into_iter().map(Value::from).collect()
    }

    fn matches(&self, key: &str) -> bool {
        key == self.key || self.recurse && key.starts_with(&self.key)
    }

    /// Returns whether a parameter is present.
    pub(super) fn has(&self, name: &str) -> bool {
        self.parameters.contains_key(name)
    }

    /// Returns a numeric parameter.
    pub(super) fn number(&self, name: &str) -> Option<u64> {
        self.parameters.get(name)?.parse().ok()
    }

    /// Returns the longest time that a blocking read waits.
    pub(super) fn wait_limit(&self) -> Duration {
        let wait = self
            .parameters
            .get("wait")
            .and_then(|text| parse_duration(text));
        wait.unwrap_or(Duration::from_millis(DEFAULT_WAIT_MS))
    }
}

/// Parses a duration such as `15s` or `250ms`.
pub(super) fn parse_duration(text: &str) -> Option<Duration> {
    if let Some(number) = text.strip_suffix("ms") {
        return Some(Duration::from_millis(number.parse().ok()?));
    }
    let number = text.strip_suffix('s')?;
    Some(Duration::from_secs(number.parse().ok()?))
}
