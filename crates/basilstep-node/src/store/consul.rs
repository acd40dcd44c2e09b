use super::{
    Store,
    messages::{
        Listing, Record, RenewalOutcome, SessionId, StoreError, TreeSnapshot, WriteOutcome,
    },
    settings::StoreSettings,
};
use base64::{Engine, prelude::BASE64_STANDARD};
use basilstep_core::settings::Entry;
use rand::RngExt;
use reqwest::{Client, Method, RequestBuilder, Response, StatusCode, Url, redirect::Policy};
use serde::{Deserialize, de::DeserializeOwned};
use std::time::Duration;

const INDEX_HEADER: &str = "X-Consul-Index";
const TOKEN_HEADER: &str = "X-Consul-Token";

/// Asks for what lies directly below a prefix.
const LIST_QUERY: [(&str, &str); 2] = [("keys", "true"), ("separator", "/")];

/// How much longer than its wait a blocking read may take to answer.
const WATCH_GRACE_MS: u64 = 5_000;

/// A client of the published Consul key-value HTTP API.
#[derive(Clone, Debug)]
pub struct ConsulStore {
    client: Client,
    url: Url,
    token: Option<String>,
    settings: StoreSettings,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct KvPair {
    key: String,
    value: Option<String>,
    modify_index: u64,
    session: Option<String>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct CreatedSession {
    #[serde(rename = "ID")]
    id: String,
}

/// The parameters of a blocking read.
struct Waiting {
    index: String,
    wait: String,
    timeout: Duration,
}

impl Waiting {
    fn query(&self) -> [(&str, &str); 2] {
        [("index", &self.index), ("wait", &self.wait)]
    }
}

struct Answer {
    status: StatusCode,
    index: u64,
    body: Vec<u8>,
}

impl ConsulStore {
    /// Opens a client with the default settings; connects on the first call.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::InvalidUrl`] when `url` is not an `http://` URL.
    pub fn open(url: &str, token: Option<&str>) -> Result<Self, StoreError> {
        Self::open_with_settings(url, token, StoreSettings::default())
    }

    /// Opens a client; connects on the first call.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::InvalidUrl`] when `url` is not an `http://` URL.
    pub fn open_with_settings(
        url: &str,
        token: Option<&str>,
        settings: StoreSettings,
    ) -> Result<Self, StoreError> {
        let bad_url = || StoreError::InvalidUrl {
            url: url.to_owned(),
        };
        let parsed = Url::parse(url).or(Err(bad_url()))?;
        if parsed.scheme() != "http" || parsed.host().is_none() {
            return Err(bad_url());
        }
        let client = Client::builder()
            .no_proxy()
            .redirect(Policy::none())
            .connect_timeout(Duration::from_millis(settings.connect_timeout_ms))
            .build()
            .map_err(unavailable)?;
        Ok(Self {
            client,
            url: parsed,
            token: token.map(str::to_owned),
            settings,
        })
    }

    /// Returns the settings of the client.
    pub fn settings(&self) -> &StoreSettings {
        &self.settings
    }

    fn request(&self, method: Method, path: &str, query: &[(&str, &str)]) -> RequestBuilder {
        let mut url = self.url.clone();
        url.set_path(path);
        for (name, value) in query {
            url.query_pairs_mut().append_pair(name, value);
        }
        let request = self
            .client
            .request(method, url)
            .timeout(Duration::from_millis(self.settings.call_timeout_ms));
        match &self.token {
            Some(token) => request.header(TOKEN_HEADER, token),
            None => request,
        }
    }

    async fn call(&self, request: RequestBuilder) -> Result<Answer, reqwest::Error> {
        let mut response = request.send().await?;
        let status = response.status();
        let index = index_of(&response);
        let mut body = Vec::new();
        while let Some(chunk) = response.chunk().await? {
            let room = (self.settings.answer_limit_bytes as usize).saturating_sub(body.len());
            body.extend_from_slice(&chunk[..chunk.len().min(room)]);
        }
        Ok(Answer {
            status,
            index,
            body,
        })
    }

    async fn read_call(&self, request: RequestBuilder) -> Result<Answer, StoreError> {
        let answer = self.call(request).await.map_err(unavailable)?;
        if answer.status == StatusCode::FORBIDDEN {
            return Err(answer.forbidden());
        }
        if answer.status.is_success() || answer.status == StatusCode::NOT_FOUND {
            return Ok(answer);
        }
        Err(StoreError::Unavailable {
            reason: answer.describe(),
        })
    }

    async fn write_call(&self, request: RequestBuilder) -> Result<WriteOutcome, StoreError> {
        let answer = match self.call(request).await {
            Ok(answer) => answer,
            Err(error) if error.is_connect() => return Err(unavailable(error)),
            Err(_) => return Ok(WriteOutcome::Unknown),
        };
        match answer.status {
            StatusCode::OK => Ok(answer.write_outcome()),
            StatusCode::FORBIDDEN => Err(answer.forbidden()),
            status if status.is_client_error() => Err(StoreError::InvalidResponse {
                reason: answer.describe(),
            }),
            _ => Ok(WriteOutcome::Unknown),
        }
    }

    fn tree_request(&self, prefix: &str, query: &[(&str, &str)]) -> RequestBuilder {
        let mut all = vec![("recurse", "true")];
        all.extend_from_slice(query);
        self.request(Method::GET, &kv_path(prefix), &all)
    }

    async fn tree(
        &self,
        prefix: &str,
        request: RequestBuilder,
    ) -> Result<TreeSnapshot, StoreError> {
        let answer = self.read_call(request).await?;
        let entries = answer
            .pairs()?
            .into_iter()
            .filter(|pair| !pair.key.ends_with('/'))
            .map(|pair| pair.into_entry(prefix))
            .collect::<Result<Vec<Entry>, StoreError>>()?;
        Ok(TreeSnapshot {
            index: answer.index,
            entries,
            subtrees: None,
        })
    }

    async fn listing(&self, request: RequestBuilder) -> Result<Listing, StoreError> {
        let answer = self.read_call(request).await?;
        Ok(Listing {
            index: answer.index,
            children: answer.list()?,
        })
    }

    /// Adds the wait for a change; the service may add a sixteenth of it as jitter of its own.
    fn waiting(&self, index: u64) -> Waiting {
        let longest_ms = self.settings.watch_wait_ms;
        let wait_ms = rand::rng().random_range(longest_ms * 4 / 5..=longest_ms);
        Waiting {
            index: index.to_string(),
            wait: format!("{wait_ms}ms"),
            timeout: Duration::from_millis(wait_ms + wait_ms / 16 + WATCH_GRACE_MS),
        }
    }
}

impl Store for ConsulStore {
    async fn read_tree(&self, prefix: &str) -> Result<TreeSnapshot, StoreError> {
        self.tree(prefix, self.tree_request(prefix, &[])).await
    }

    async fn watch_tree(&self, prefix: &str, index: u64) -> Result<TreeSnapshot, StoreError> {
        let waiting = self.waiting(index);
        let request = self
            .tree_request(prefix, &waiting.query())
            .timeout(waiting.timeout);
        self.tree(prefix, request).await
    }

    async fn list(&self, prefix: &str) -> Result<Listing, StoreError> {
        // What is listed decides what is not read, so it must not be older than what woke us.
        let mut query = LIST_QUERY.to_vec();
        query.push(("consistent", "true"));
        let request = self.request(Method::GET, &kv_path(prefix), &query);
        self.listing(request).await
    }

    async fn watch_list(&self, prefix: &str, index: u64) -> Result<Listing, StoreError> {
        let waiting = self.waiting(index);
        let mut query = LIST_QUERY.to_vec();
        query.extend(waiting.query());
        let request = self
            .request(Method::GET, &kv_path(prefix), &query)
            .timeout(waiting.timeout);
        self.listing(request).await
    }

    async fn read(&self, key: &str) -> Result<Option<Record>, StoreError> {
        let request = self.request(Method::GET, &kv_path(key), &[]);
        let answer = self.read_call(request).await?;
        let pair = answer.pairs()?.into_iter().next();
        pair.map(KvPair::into_record).transpose()
    }

    async fn write(
        &self,
        key: &str,
        value: &str,
        expected: u64,
    ) -> Result<WriteOutcome, StoreError> {
        let query = [("cas", &*expected.to_string())];
        let request = self.request(Method::PUT, &kv_path(key), &query);
        self.write_call(request.body(value.to_owned())).await
    }

    async fn delete(&self, key: &str, expected: u64) -> Result<WriteOutcome, StoreError> {
        let query = [("cas", &*expected.to_string())];
        self.write_call(self.request(Method::DELETE, &kv_path(key), &query))
            .await
    }

    async fn create_session(&self, ttl: Duration) -> Result<SessionId, StoreError> {
        let wanted = serde_json::json!({
            "Name": "basilstep",
            "TTL": format!("{}ms", ttl.as_millis()),
            "Behavior": "delete",
            "LockDelay": "0s",
        });
        let request = self.request(Method::PUT, "/v1/session/create", &[]);
        let answer = self.read_call(request.json(&wanted)).await?;
        let created: CreatedSession = answer.json()?;
        Ok(SessionId(created.id))
    }

    async fn renew_session(&self, session: &SessionId) -> Result<RenewalOutcome, StoreError> {
        let path = format!("/v1/session/renew/{session}");
        let answer = self
            .read_call(self.request(Method::PUT, &path, &[]))
            .await?;
        Ok(match answer.status {
            StatusCode::NOT_FOUND => RenewalOutcome::Expired,
            _ => RenewalOutcome::Renewed,
        })
    }

    async fn destroy_session(&self, session: &SessionId) -> Result<(), StoreError> {
        let path = format!("/v1/session/destroy/{session}");
        self.read_call(self.request(Method::PUT, &path, &[]))
            .await
            .map(|_| ())
    }

    async fn acquire(
        &self,
        key: &str,
        value: &str,
        session: &SessionId,
    ) -> Result<WriteOutcome, StoreError> {
        let query = [("acquire", session.0.as_str())];
        let request = self.request(Method::PUT, &kv_path(key), &query);
        self.write_call(request.body(value.to_owned())).await
    }
}

impl Answer {
    fn describe(&self) -> String {
        let body = String::from_utf8_lossy(&self.body);
        let start: String = body.chars().take(200).collect();
        format!("status {}: {start}", self.status.as_u16())
    }

    fn forbidden(&self) -> StoreError {
        StoreError::Forbidden {
            reason: self.describe(),
        }
    }

    fn write_outcome(&self) -> WriteOutcome {
        match self.body.trim_ascii() {
            b"true" => WriteOutcome::Written,
            b"false" => WriteOutcome::Conflict,
            _ => WriteOutcome::Unknown,
        }
    }

    fn json<T: DeserializeOwned>(&self) -> Result<T, StoreError> {
        serde_json::from_slice(&self.body).map_err(|error| StoreError::InvalidResponse {
            reason: error.to_string(),
        })
    }

    fn pairs(&self) -> Result<Vec<KvPair>, StoreError> {
        self.list()
    }

    fn list<T: DeserializeOwned>(&self) -> Result<Vec<T>, StoreError> {
        if self.index == 0 {
            let reason = format!("no {INDEX_HEADER} header");
            return Err(StoreError::InvalidResponse { reason });
        }
        match self.status {
            StatusCode::NOT_FOUND => Ok(Vec::new()),
            _ => self.json(),
        }
    }
}

impl KvPair {
    fn text(&self) -> Result<String, StoreError> {
        let bytes = BASE64_STANDARD
            .decode(self.value.as_deref().unwrap_or_default())
            .map_err(|error| StoreError::InvalidResponse {
                reason: format!("{}: {error}", self.key),
            })?;
        // A value that is not text is malformed further on, for its own path alone.
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }

    fn into_entry(self, prefix: &str) -> Result<Entry, StoreError> {
        let value = self.text()?;
        let path = self.key.strip_prefix(prefix).unwrap_or(&self.key);
        Ok(Entry {
            path: path.to_owned(),
            version: self.modify_index,
            value: Some(value),
        })
    }

    fn into_record(self) -> Result<Record, StoreError> {
        Ok(Record {
            version: self.modify_index,
            value: self.text()?,
            session: self.session.map(SessionId),
        })
    }
}

fn kv_path(key: &str) -> String {
    format!("/v1/kv/{key}")
}

fn index_of(response: &Response) -> u64 {
    response
        .headers()
        .get(INDEX_HEADER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .unwrap_or(0)
}

fn unavailable(error: reqwest::Error) -> StoreError {
    let error = error.without_url();
    let mut reason = error.to_string();
    let mut source = std::error::Error::source(&error);
    while let Some(cause) = source {
        reason = format!("{reason}: {cause}");
        source = cause.source();
    }
    StoreError::Unavailable { reason }
}
