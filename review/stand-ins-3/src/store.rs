//! The platform's metadata store: items, their history, watches and leases.

use crate::{
    http::{self, Request},
    json::{Json, from_base64, to_base64},
};
use std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

/// The shortest time to live of a lease.
const MIN_TTL_MS: u64 = 1_000;
const MAX_TTL_MS: u64 = 600_000;

#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Debug)]
struct Change {
    key: String,
    revision: u64,
    /// The item as it was written; `None` if it was removed.
    item: Option<Item>,
}

#[derive(Debug)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    /// The time to live and the end of each lease.
    leases: BTreeMap<u64, (u64, Instant)>,
    next_lease: u64,
    /// All calls of the system get 503.
    is_busy: bool,
}

#[derive(Clone, Debug)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl State {
    fn set(&mut self, key: &str, value: Option<(Vec<u8>, u64)>) {
        let revision = self.revision;
        let item = value.map(|(value, lease)| Item {
            value,
            revision,
            created: self.items.get(key).map_or(revision, |known| known.created),
            lease,
        });
        match &item {
            Some(item) => self.items.insert(key.to_owned(), item.clone()),
            None => self.items.remove(key),
        };
        self.history.push(Change {
            key: key.to_owned(),
            revision,
            item,
        });
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.revision += 1;
            self.set(&key, None);
        }
    }
}

impl Store {
    pub fn start(address: SocketAddrV4) -> Self {
        let state = State {
            revision: 1,
            items: BTreeMap::new(),
            history: Vec::new(),
            leases: BTreeMap::new(),
            next_lease: 77_000,
            is_busy: false,
        };
        let store = Self {
            shared: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let served = store.clone();
        http::serve(address, move |request| served.answer(request))
            .expect("the store's address is free");
        store
    }

    /// Writes or removes an item, as the operator does.
    pub fn put(&self, key: &str, value: Option<&str>) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        state.set(key, value.map(|value| (value.as_bytes().to_vec(), 0)));
        changed.notify_all();
    }

    /// Turns all calls of the system away with 503, or serves them again.
    pub fn set_busy(&self, is_busy: bool) {
        let (state, changed) = &*self.shared;
        state.lock().unwrap().is_busy = is_busy;
        changed.notify_all();
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let query: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let number = |key: &str| {
            query
                .get(key)
                .and_then(|text| text.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let prefix = query.get("Prefix").copied().unwrap_or_default();
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        state.end_leases();
        if state.is_busy {
            return (503, "{}".to_owned());
        }
        match (request.method.as_str(), path) {
            ("GET", "/kv-key") => {
                let key = query.get("Key").copied().unwrap_or_default();
                match state.items.get(key) {
                    Some(item) => (
                        200,
                        format!("{{{},\"AsOf\":{}}}", fields(key, item), state.revision),
                    ),
                    None => (404, "{}".to_owned()),
                }
            }
            ("GET", "/kv-range") => {
                let after = query.get("after").copied().unwrap_or_default();
                let items: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
                    .map(|(key, item)| format!("{{{}}}", fields(key, item)))
                    .collect();
                let revision = state.revision;
                (
                    200,
                    format!(
                        "{{\"items\":[{}],\"MorePages\":false,\"AsOf\":{revision}}}",
                        items.join(",")
                    ),
                )
            }
            ("GET", "/kv-watch") => {
                let after = number("after");
                let until = Instant::now() + Duration::from_millis(number("WaitMs").min(30_000));
                loop {
                    state.end_leases();
                    if state.is_busy {
                        return (503, "{}".to_owned());
                    }
                    let events: Vec<String> = state
                        .history
                        .iter()
                        .filter(|change| change.revision > after && change.key.starts_with(prefix))
                        .map(|change| match &change.item {
                            Some(item) => format!("{{{}}}", fields(&change.key, item)),
                            None => format!(
                                "{{\"Key\":\"{}\",\"Revision\":{},\"Tombstone\":true}}",
                                change.key, change.revision
                            ),
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let revision = state.revision;
                        return (
                            200,
                            format!("{{\"events\":[{}],\"AsOf\":{revision}}}", events.join(",")),
                        );
                    }
                    let step = left.min(Duration::from_millis(200));
                    state = changed.wait_timeout(state, step).unwrap().0;
                }
            }
            ("POST", "/kv-txn") => {
                let answer = transact(&mut state, &request.body);
                changed.notify_all();
                answer
            }
            ("POST", "/kv-lease") => {
                let asked = body(request)
                    .and_then(|body| body.number("TtlMs"))
                    .unwrap_or(MIN_TTL_MS);
                let ttl_ms = asked.clamp(MIN_TTL_MS, MAX_TTL_MS);
                state.next_lease += 1;
                let lease = state.next_lease;
                state.leases.insert(
                    lease,
                    (ttl_ms, Instant::now() + Duration::from_millis(ttl_ms)),
                );
                (200, format!("{{\"Lease\":{lease},\"TtlMs\":{ttl_ms}}}"))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let lease = path["/kv-keep/".len()..].parse().unwrap_or(0);
                match state.leases.get_mut(&lease) {
                    Some((ttl_ms, end)) => {
                        *end = Instant::now() + Duration::from_millis(*ttl_ms);
                        (200, format!("{{\"TtlMs\":{ttl_ms}}}"))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let lease = path["/kv-lease-end/".len()..].parse().unwrap_or(0);
                state.end_lease(lease);
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

fn body(request: &Request) -> Option<Json> {
    Json::parse(&String::from_utf8_lossy(&request.body))
}

fn fields(key: &str, item: &Item) -> String {
    format!(
        "\"Key\":\"{key}\",\"Value\":\"{}\",\"Revision\":{},\"Created\":{},\"Lease\":{}",
        to_base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

fn transact(state: &mut State, body: &[u8]) -> (u16, String) {
    let Some(body) = Json::parse(&String::from_utf8_lossy(body)) else {
        return (400, "{}".to_owned());
    };
    let is_expected = body.list("Expected").iter().all(|row| {
        let known = row.text("Key").and_then(|key| state.items.get(key));
        row.number("Revision") == Some(known.map_or(0, |item| item.revision))
    });
    if !is_expected {
        return (412, "{\"items\":[]}".to_owned());
    }
    let writes = body.list("Writes");
    let lease_of = |write: &Json| write.number("Lease").unwrap_or(0);
    if writes
        .iter()
        .any(|write| lease_of(write) > 0 && !state.leases.contains_key(&lease_of(write)))
    {
        return (404, "{}".to_owned());
    }
    let removed: Vec<String> = body
        .list("Remove")
        .iter()
        .filter_map(|key| match key {
            Json::Text(key) => Some(key.clone()),
            _ => None,
        })
        .collect();
    if writes
        .iter()
        .filter_map(|write| write.text("Key"))
        .any(|key| key.starts_with("op/") || key.starts_with("servers/"))
    {
        return (403, "{}".to_owned());
    }
    state.revision += 1;
    for write in writes {
        let value = from_base64(write.text("Value").unwrap_or_default());
        state.set(
            write.text("Key").unwrap_or_default(),
            Some((value, lease_of(write))),
        );
    }
    for key in removed {
        state.set(&key, None);
    }
    (200, format!("{{\"Revision\":{}}}", state.revision))
}
