//! The platform's metadata store: items, watches and leases (which do not end while the case runs).

use crate::http::{self, Request};
use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{SocketAddrV4, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// The sheet: 4 ms an answer.
pub const ANSWER_MS: u64 = 4;

#[derive(Default)]
struct State {
    revision: u64,
    next_lease: u64,
    /// Key to revision and base64 value; `None` is a tombstone.
    items: BTreeMap<String, (u64, Option<String>)>,
}

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    /// How long an answer takes.
    pub answer_ms: Arc<AtomicU64>,
}

impl Store {
    pub fn start(address: SocketAddrV4) -> Self {
        let store = Self::default();
        store.shared.0.lock().unwrap().revision = 10;
        store.answer_ms.store(ANSWER_MS, Ordering::SeqCst);
        let listener = TcpListener::bind(address)
            .unwrap_or_else(|e| crate::world::cannot_run(&format!("store: {e}")));
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes or removes an item, as the operator does.
    pub fn put(&self, key: &str, value: Option<&str>) {
        self.write(key, value.map(|v| base64(v.as_bytes())));
    }

    fn write(&self, key: &str, value: Option<String>) -> u64 {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.items.insert(key.to_owned(), (revision, value));
        changed.notify_all();
        revision
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read_request(&mut reader) {
            let (status, body) = self.respond(&request);
            thread::sleep(Duration::from_millis(self.answer_ms.load(Ordering::SeqCst)));
            if http::answer(&mut writer, status, &body).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Request) -> (u16, String) {
        let prefix = request.parameter("Prefix").unwrap_or_default();
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/kv-range") => {
                let state = self.shared.0.lock().unwrap();
                let items = rows(&state, prefix, 0, false);
                let text = format!(
                    r#"{{"items":[{}],"MorePages":false,"AsOf":{}}}"#,
                    items.join(","),
                    state.revision
                );
                (200, text)
            }
            ("GET", "/kv-watch") => {
                let number = |name| request.parameter(name).and_then(|t| t.parse::<u64>().ok());
                let after = number("after").unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(number("WaitMs").unwrap_or(0));
                let (state, changed) = &*self.shared;
                let mut state = state.lock().unwrap();
                loop {
                    let events = rows(&state, prefix, after, true);
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let text = format!(
                            r#"{{"events":[{}],"AsOf":{}}}"#,
                            events.join(","),
                            state.revision
                        );
                        return (200, text);
                    }
                    state = changed.wait_timeout(state, left).unwrap().0;
                }
            }
            ("POST", "/kv-txn") => {
                // Only unconditional writes of one key are made.
                let field = |name: &str| {
                    let start = request.body.split(&format!("\"{name}\":\"")).nth(1)?;
                    Some(start.split('"').next()?.to_owned())
                };
                match (field("Key"), field("Value")) {
                    (Some(key), Some(value)) => {
                        let revision = self.write(&key, Some(value));
                        (200, format!(r#"{{"Revision":{revision}}}"#))
                    }
                    _ => (400, "{}".to_owned()),
                }
            }
            ("POST", "/kv-lease") => {
                let mut state = self.shared.0.lock().unwrap();
                state.next_lease += 1;
                (
                    200,
                    format!(r#"{{"Lease":{},"TtlMs":30000}}"#, state.next_lease),
                )
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                (200, r#"{"TtlMs":30000}"#.to_owned())
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => (200, "{}".to_owned()),
            _ => (404, "{}".to_owned()),
        }
    }
}

fn rows(state: &State, prefix: &str, after: u64, with_tombstones: bool) -> Vec<String> {
    state
        .items
        .iter()
        .filter(|(key, (revision, value))| {
            key.starts_with(prefix) && *revision > after && (with_tombstones || value.is_some())
        })
        .map(|(key, (revision, value))| match value {
            Some(value) => format!(
                r#"{{"Key":"{key}","Value":"{value}","Revision":{revision},"Created":{revision},"Lease":0}}"#
            ),
            None => format!(r#"{{"Key":"{key}","Revision":{revision},"Tombstone":true}}"#),
        })
        .collect()
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let at = |i: usize| u32::from(chunk.get(i).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for i in 0..4 {
            if i <= chunk.len() {
                text.push(char::from(ALPHABET[(bits >> (18 - 6 * i) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
