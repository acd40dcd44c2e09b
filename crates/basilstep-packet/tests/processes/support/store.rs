//! Test double of the platform's metadata store: items, watches and leases, without limits.

use base64::{Engine, engine::general_purpose::STANDARD};
use basilstep_node::http::{RequestHandler, ServerRequest, ServerResponse, spawn_http_server};
use bytes::Bytes;
use http::{Method, StatusCode};
use serde_json::{Value, json};
use std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::time::{Instant, sleep};

const POLL_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Clone, Debug, Default)]
struct StoreState {
    /// How often the store has been restored from a copy.
    era: u64,
    revision: u64,
    values: BTreeMap<String, (u64, Option<Vec<u8>>)>,
    /// The revision at which each existing item was created.
    created: BTreeMap<String, u64>,
    /// The oldest revision from which a watch can start.
    history_from: u64,
    /// The id of the lease that all writers share.
    lease: u64,
}

impl StoreState {
    fn set(&mut self, key: &str, revision: u64, value: Option<Vec<u8>>) {
        if value.is_some() {
            self.created.entry(key.to_owned()).or_insert(revision);
        } else {
            self.created.remove(key);
        }
        self.values.insert(key.to_owned(), (revision, value));
    }
}

/// A running store.
#[derive(Clone, Debug, Default)]
pub struct Store {
    state: Arc<Mutex<StoreState>>,
    copy: Arc<Mutex<StoreState>>,
    /// Watches that wait during a restore go on waiting for later revisions than their own.
    keeps_waiting_watches: Arc<AtomicBool>,
    calls: Arc<AtomicUsize>,
}

impl Store {
    pub async fn spawn(address: SocketAddrV4) -> Self {
        let store = Self::default();
        spawn_http_server(address, store.clone()).await.unwrap();
        store
    }

    /// Writes or deletes an item, as operators do.
    pub fn put(&self, key: &str, value: Option<&Value>) {
        self.put_bytes(key, value.map(|value| value.to_string().into_bytes()));
    }

    /// Writes or deletes an item with any value, as other writers do.
    pub fn put_bytes(&self, key: &str, value: Option<Vec<u8>>) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.set(key, revision, value);
    }

    /// Ends all leases and deletes the items written with them.
    pub fn end_leases(&self) {
        let mut state = self.state.lock().unwrap();
        state.lease += 1;
        state.revision += 1;
        let revision = state.revision;
        for (key, value) in &mut state.values {
            if key.starts_with("balancers/") {
                *value = (revision, None);
            }
        }
    }

    /// Drops the history of changes.
    pub fn drop_history(&self) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.history_from = state.revision;
    }

    /// Takes the copy from which [`Store::restore`] restores.
    pub fn copy(&self) {
        *self.copy.lock().unwrap() = self.state.lock().unwrap().clone();
    }

    /// Restores the copy: later writes and all items with leases are gone, and revisions and lease
    /// ids are given out again.
    pub fn restore(&self) {
        let mut state = self.state.lock().unwrap();
        let era = state.era + 1;
        *state = self.copy.lock().unwrap().clone();
        state.era = era;
        state.values.retain(|key, _| !key.starts_with("balancers/"));
    }

    /// Sets whether watches that wait during a restore go on waiting or end with an error.
    pub fn set_keeps_waiting_watches(&self, keeps_waiting_watches: bool) {
        self.keeps_waiting_watches
            .store(keeps_waiting_watches, Ordering::SeqCst);
    }

    /// Returns whether an item exists.
    pub fn contains(&self, key: &str) -> bool {
        self.value(key).is_some()
    }

    /// Returns the value of an item.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let state = self.state.lock().unwrap();
        state.values.get(key).and_then(|(_, value)| value.clone())
    }

    /// Returns how many calls the store has received.
    pub fn calls(&self) -> usize {
        self.calls.load(Ordering::SeqCst)
    }

    fn has_history(&self, after: u64) -> bool {
        let state = self.state.lock().unwrap();
        (state.history_from..=state.revision).contains(&after)
    }

    fn era(&self) -> u64 {
        self.state.lock().unwrap().era
    }

    fn lease(&self) -> u64 {
        self.state.lock().unwrap().lease
    }

    fn changes(&self, prefix: &str, after: u64, is_watch: bool) -> (u64, Vec<Value>) {
        let state = self.state.lock().unwrap();
        let changes = state
            .values
            .iter()
            .filter(|(key, (revision, value))| {
                key.starts_with(prefix) && *revision > after && (is_watch || value.is_some())
            })
            .map(|(key, (revision, value))| match value {
                Some(value) => {
                    json!({"Key": key, "Value": STANDARD.encode(value), "Revision": revision,
                           "Created": state.created.get(key), "Lease": 0})
                }
                None => json!({"Key": key, "Revision": revision, "Tombstone": true}),
            })
            .collect();
        (state.revision, changes)
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> ServerResponse {
        let until = Instant::now() + wait;
        let era = self.era();
        loop {
            let was_restored = self.era() != era;
            let goes_on = was_restored && self.keeps_waiting_watches.load(Ordering::SeqCst);
            if !goes_on && !self.has_history(after) {
                return ServerResponse::empty(StatusCode::GONE);
            }
            let (revision, events) = self.changes(prefix, after, true);
            if !events.is_empty() || Instant::now() >= until {
                return json_answer(&json!({"events": events, "AsOf": revision}));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    fn transact(&self, body: &[u8]) -> ServerResponse {
        let body: Value = serde_json::from_slice(body).unwrap();
        let mut state = self.state.lock().unwrap();
        let is_expected = body["Expected"].as_array().unwrap().iter().all(|expected| {
            let known = state.values.get(expected["Key"].as_str().unwrap());
            let revision = known.map_or(0, |(revision, value)| {
                value.as_ref().map_or(0, |_| *revision)
            });
            expected["Revision"] == revision
        });
        if !is_expected {
            return ServerResponse::empty(StatusCode::PRECONDITION_FAILED);
        }
        state.revision += 1;
        let revision = state.revision;
        for write in body["Writes"].as_array().unwrap() {
            let value = STANDARD.decode(write["Value"].as_str().unwrap()).unwrap();
            state.set(write["Key"].as_str().unwrap(), revision, Some(value));
        }
        json_answer(&json!({"Revision": revision}))
    }
}

impl RequestHandler for Store {
    async fn handle(&self, request: ServerRequest) -> ServerResponse {
        self.calls.fetch_add(1, Ordering::SeqCst);
        let mut response = self.respond(request).await;
        response.headers.insert("store-era", self.era().into());
        response
    }
}

impl Store {
    async fn respond(&self, request: ServerRequest) -> ServerResponse {
        let query: BTreeMap<&str, &str> = request
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let prefix = query.get("Prefix").copied().unwrap_or_default();
        match (&request.method, request.path.as_str()) {
            (&Method::GET, "/kv-range") => {
                let (revision, items) = self.changes(prefix, 0, false);
                json_answer(&json!({"items": items, "MorePages": false, "AsOf": revision}))
            }
            (&Method::GET, "/kv-watch") => {
                let after = query["after"].parse().unwrap();
                let wait = Duration::from_millis(query["WaitMs"].parse().unwrap());
                self.watch(prefix, after, wait).await
            }
            (&Method::POST, "/kv-txn") => self.transact(&request.body),
            (&Method::POST, "/kv-lease") => {
                json_answer(&json!({"Lease": self.lease(), "TtlMs": 15_000}))
            }
            (&Method::POST, path) if path == format!("/kv-keep/{}", self.lease()) => {
                json_answer(&json!({"TtlMs": 15_000}))
            }
            _ => ServerResponse::empty(StatusCode::NOT_FOUND),
        }
    }
}

fn json_answer(value: &Value) -> ServerResponse {
    ServerResponse::json(StatusCode::OK, Bytes::from(value.to_string()))
}
