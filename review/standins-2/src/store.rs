//! The platform's metadata store: items, history, watches and leases, by PROTOCOL.md.

use crate::{
    http::{self, Request, Response},
    json::Json,
};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddrV4,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

#[derive(Clone, Debug)]
struct Item {
    /// As base64 text.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Each change: the revision, the key, and the item unless it was removed.
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

#[derive(Clone, Debug, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
}

impl State {
    fn write(&mut self, revision: u64, key: &str, value: &str, lease: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value: value.to_owned(),
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, revision: u64, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let known = self.leases.remove(&lease).is_some();
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| lease != 0 && item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
            let revision = self.revision;
            for key in keys {
                self.remove(revision, &key);
            }
        }
        known
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (until, _))| *until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        r#"{{"Key":"{key}","Value":"{}","Revision":{},"Created":{},"Lease":{}}}"#,
        item.value, item.revision, item.created, item.lease
    )
}

fn query<'a>(request: &'a Request, name: &str) -> &'a str {
    request
        .query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map_or("", |(_, value)| value)
}

impl Store {
    pub fn start(address: SocketAddrV4) -> io::Result<Self> {
        let store = Self::default();
        store.state.lock().unwrap().revision = 100;
        let served = store.clone();
        http::serve(address, move |request| served.answer(request))?;
        Ok(store)
    }

    /// Writes an item as operators do; returns once it is acknowledged.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.write(revision, key, &base64(value.as_bytes()), 0);
    }

    fn answer(&self, request: &Request) -> Response {
        thread::sleep(Duration::from_millis(4));
        let path = request.path.as_str();
        self.state.lock().unwrap().expire();
        match (request.method.as_str(), path) {
            ("GET", "/kv-key") => self.get(query(request, "Key")),
            ("GET", "/kv-range") => self.range(query(request, "Prefix")),
            ("GET", "/kv-watch") => self.watch(request),
            ("POST", "/kv-txn") => self.transact(&request.body),
            ("POST", "/kv-lease") => self.grant(&request.body),
            _ => {
                if let Some(id) = path.strip_prefix("/kv-keep/") {
                    return self.renew(id.parse().unwrap_or_default());
                }
                if let Some(id) = path.strip_prefix("/kv-lease-end/") {
                    let known = self
                        .state
                        .lock()
                        .unwrap()
                        .end_lease(id.parse().unwrap_or_default());
                    return Response::json(if known { 200 } else { 404 }, "{}");
                }
                Response::json(404, "{}")
            }
        }
    }

    fn get(&self, key: &str) -> Response {
        let state = self.state.lock().unwrap();
        match state.items.get(key) {
            Some(item) => {
                let text = item_json(key, item);
                let text = text.trim_end_matches('}');
                Response::json(200, format!(r#"{text},"AsOf":{}}}"#, state.revision))
            }
            None => Response::json(404, "{}"),
        }
    }

    fn range(&self, prefix: &str) -> Response {
        let state = self.state.lock().unwrap();
        let items: Vec<String> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix))
            .map(|(key, item)| item_json(key, item))
            .collect();
        let body = format!(
            r#"{{"items":[{}],"MorePages":false,"AsOf":{}}}"#,
            items.join(","),
            state.revision
        );
        Response::json(200, body)
    }

    fn watch(&self, request: &Request) -> Response {
        let prefix = query(request, "Prefix");
        let after: u64 = query(request, "after").parse().unwrap_or_default();
        let wait: u64 = query(request, "WaitMs").parse().unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        loop {
            {
                let mut state = self.state.lock().unwrap();
                state.expire();
                let events: Vec<String> = state
                    .history
                    .iter()
                    .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                    .map(|(revision, key, item)| match item {
                        Some(item) => item_json(key, item),
                        None => {
                            format!(r#"{{"Key":"{key}","Revision":{revision},"Tombstone":true}}"#)
                        }
                    })
                    .collect();
                if !events.is_empty() || Instant::now() >= until {
                    let body = format!(
                        r#"{{"events":[{}],"AsOf":{}}}"#,
                        events.join(","),
                        state.revision
                    );
                    return Response::json(200, body);
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn transact(&self, body: &str) -> Response {
        let Some(body) = Json::parse(body) else {
            return Response::json(400, "{}");
        };
        let mut state = self.state.lock().unwrap();
        let is_expected = body.get("Expected").list().iter().all(|row| {
            let known = state.items.get(row.get("Key").text());
            known.map_or(0, |item| item.revision) == row.get("Revision").number()
        });
        if !is_expected {
            let items: Vec<String> = body
                .get("Expected")
                .list()
                .iter()
                .filter_map(|row| {
                    let key = row.get("Key").text();
                    state.items.get(key).map(|item| item_json(key, item))
                })
                .collect();
            return Response::json(412, format!(r#"{{"items":[{}]}}"#, items.join(",")));
        }
        let writes = body.get("Writes").list();
        let has_leases = writes.iter().all(|write| {
            let lease = write.get("Lease").number();
            lease == 0 || state.leases.contains_key(&lease)
        });
        if !has_leases {
            return Response::json(404, "{}");
        }
        let is_forbidden = writes.iter().any(|write| {
            let key = write.get("Key").text();
            key.starts_with("op/") || key.starts_with("servers/")
        });
        if is_forbidden {
            return Response::json(403, "{}");
        }
        state.revision += 1;
        let revision = state.revision;
        for write in writes {
            let lease = write.get("Lease").number();
            state.write(
                revision,
                write.get("Key").text(),
                write.get("Value").text(),
                lease,
            );
        }
        for key in body.get("Remove").list() {
            state.remove(revision, key.text());
        }
        Response::json(200, format!(r#"{{"Revision":{revision}}}"#))
    }

    fn grant(&self, body: &str) -> Response {
        let ttl_ms = Json::parse(body).map_or(0, |body| body.get("TtlMs").number());
        let ttl = Duration::from_millis(ttl_ms.clamp(1_000, 600_000));
        let mut state = self.state.lock().unwrap();
        state.next_lease += 1;
        let lease = 77_000 + state.next_lease;
        state.leases.insert(lease, (Instant::now() + ttl, ttl));
        let body = format!(r#"{{"Lease":{lease},"TtlMs":{}}}"#, ttl.as_millis());
        Response::json(200, body)
    }

    fn renew(&self, lease: u64) -> Response {
        let mut state = self.state.lock().unwrap();
        match state.leases.get_mut(&lease) {
            Some((until, ttl)) => {
                *until = Instant::now() + *ttl;
                let body = format!(r#"{{"TtlMs":{}}}"#, ttl.as_millis());
                Response::json(200, body)
            }
            None => Response::json(404, "{}"),
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk
            .iter()
            .chain([0, 0].iter())
            .take(3)
            .fold(0_u32, |group, byte| group << 8 | u32::from(*byte));
        for place in 0..4 {
            if place <= chunk.len() {
                let index = group >> (18 - 6 * place) & 63;
                text.push(char::from(ALPHABET[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
