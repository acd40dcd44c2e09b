//! The contents of the stand-in store: records, sessions and the snapshot of stale reads.

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

/// The calls that the store has served.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Reads, a blocking one counted once.
    pub reads: u64,
    /// Writes, deletions and calls on sessions.
    pub writes: u64,
    /// Blocking reads that wait now.
    pub waiting_watches: u64,
}

/// Everything that the store holds.
#[derive(Debug, Default)]
pub(super) struct Data {
    pub(super) tree: Tree,
    pub(super) snapshot: Option<Tree>,
    sessions: BTreeMap<String, Session>,
    next_session: u64,
    /// The faults switched on, each with its delay in milliseconds.
    pub(super) faults: BTreeMap<StoreFault, u64>,
    pub(super) counts: Counts,
}

/// The records, and when removed ones were removed.
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
    /// Takes a `PUT` or `DELETE`; `None` when the session that it names is over.
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

    /// Writes a record; false when another session holds it.
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

    /// Ends all sessions and removes what they hold.
    pub(super) fn lapse_all(&mut self) {
        self.lapse(|_| true);
    }

    /// Ends the sessions that have not been renewed in time and removes what they hold.
    pub(super) fn lapse_expired(&mut self, now: Instant) {
        self.lapse(|session| session.expires_at <= now);
    }

    fn lapse(&mut self, is_over: impl Fn(&Session) -> bool) {
        let over: Vec<String> = self
            .sessions
            .iter()
            .filter(|(_, session)| is_over(session))
            .map(|(id, _)| id.clone())
            .collect();
        for id in over {
            self.destroy(&id);
        }
    }

    /// Ends a session and removes what it holds.
    pub(super) fn destroy(&mut self, id: &str) {
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

    /// Prolongs a session; false when it is over.
    pub(super) fn renew(&mut self, id: &str) -> bool {
        let refused = self.faults.contains_key(&StoreFault::LapsedLeases);
        let Some(session) = self.sessions.get_mut(id).filter(|_| !refused) else {
            return false;
        };
        session.expires_at = Instant::now() + session.ttl;
        true
    }

    /// Returns the index and the records that a query asks for.
    pub(super) fn read(&self, query: &Query) -> (u64, Vec<Value>) {
        self.snapshot.as_ref().unwrap_or(&self.tree).read(query)
    }
}

impl Default for Tree {
    /// Starts above zero: the API keeps index 0 for a read that does not wait.
    fn default() -> Self {
        Self::restored(1)
    }
}

impl Tree {
    /// Creates an empty tree, as restored from a backup taken at `index`.
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
            query.cut_keys(found.into_iter().map(|(key, _)| key))
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

    /// Cuts keys after the first separator that follows the prefix, and lists each once.
    fn cut_keys<'a>(&self, keys: impl Iterator<Item = &'a String>) -> Vec<Value> {
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

    /// Tells whether a parameter was given.
    pub(super) fn has(&self, name: &str) -> bool {
        self.parameters.contains_key(name)
    }

    /// Returns a numeric parameter.
    pub(super) fn number(&self, name: &str) -> Option<u64> {
        self.parameters.get(name)?.parse().ok()
    }

    /// Returns how long a blocking read waits at most.
    pub(super) fn wait(&self) -> Duration {
        let wait = self.parameters.get("wait").and_then(|text| duration(text));
        wait.unwrap_or(Duration::from_millis(DEFAULT_WAIT_MS))
    }
}

/// Reads a duration such as `15s` or `250ms`.
pub(super) fn duration(text: &str) -> Option<Duration> {
    if let Some(number) = text.strip_suffix("ms") {
        return Some(Duration::from_millis(number.parse().ok()?));
    }
    let number = text.strip_suffix('s')?;
    Some(Duration::from_secs(number.parse().ok()?))
}
