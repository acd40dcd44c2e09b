use super::{
    Store,
    settings::StoreSettings,
    types::{
        Listing, RenewalOutcome, SessionId, StoreError, StoredRecord, TreeSnapshot, WriteOutcome,
    },
};
use base64::{Engine, prelude::BASE64_STANDARD};
use basilstep_core::settings::SettingsEntry;
use rand::RngExt;
use reqwest::{Client, Method, RequestBuilder, Response, StatusCode, Url, redirect::Policy};
use serde::{Deserialize, de::DeserializeOwned};
use serde_json::value::RawValue;
use std::time::Duration;

const INDEX_HEADER: &str = "X-Consul-Index";
const TOKEN_HEADER: &str = "X-Consul-Token";

/// The query that lists the direct children of a prefix.
const LIST_QUERY: [(&str, &str); 2] = [("keys", "true"), ("separator", "/")];

/// A [`Store`] on the published Consul key-value HTTP API.
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
struct KeyOfPair {
    key: String,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct CreatedSession {
    #[serde(rename = "ID")]
    id: String,
}

/// The query parameters and the timeout of a blocking read.
struct BlockingQuery {
    index: String,
    wait: String,
    timeout: Duration,
}

impl BlockingQuery {
    fn parameters(&self) -> [(&str, &str); 2] {
        [("index", &self.index), ("wait", &self.wait)]
    }
}

struct ApiResponse {
    status: StatusCode,
    index: u64,
    body: Vec<u8>,
}

impl ConsulStore {
    /// Creates a client with the default settings; it connects on the first call.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::InvalidUrl`] when `url` is not an `http://` URL.
    pub fn open(url: &str, token: Option<&str>) -> Result<Self, StoreError> {
        Self::open_with_settings(url, token, StoreSettings::default())
    }

    /// Creates a client; it connects on the first call.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::InvalidUrl`] when `url` is not an `http://` URL.
    pub fn open_with_settings(
        url: &str,
        token: Option<&str>,
        settings: StoreSettings,
    ) -> Result<Self, StoreError> {
        let invalid_url = || StoreError::InvalidUrl {
            url: url.to_owned(),
        };
        let parsed = Url::parse(url).or(Err(invalid_url()))?;
        if parsed.scheme() != "http" || parsed.host().is_none() {
            return Err(invalid_url());
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

    async fn send(&self, request: RequestBuilder) -> Result<ApiResponse, reqwest::Error> {
        let mut http_response = request.send().await?;
        let status = http_response.status();
        let index = index_of(&http_response);
        let mut body = Vec::new();
        while let Some(chunk) = http_response.chunk().await? {
            let remaining = (self.settings.answer_limit_bytes as usize).saturating_sub(body.len());
            body.extend_from_slice(&chunk[..chunk.len().min(remaining)]);
        }
        Ok(ApiResponse {
            status,
            index,
            body,
        })
    }

    async fn send_read(&self, request: RequestBuilder) -> Result<ApiResponse, StoreError> {
        let response = self.send(request).await.map_err(unavailable)?;
        if response.status == StatusCode::FORBIDDEN {
            return Err(response.forbidden());
        }
        if response.status.is_success() || response.status == StatusCode::NOT_FOUND {
            return Ok(response);
        }
        Err(StoreError::Unavailable {
            reason: response.describe(),
        })
    }

    async fn send_write(&self, request: RequestBuilder) -> Result<WriteOutcome, StoreError> {
        let response = match self.send(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return Err(unavailable(error)),
            Err(_) => return Ok(WriteOutcome::Unknown),
        };
        match response.status {
            StatusCode::OK => Ok(response.write_outcome()),
            StatusCode::FORBIDDEN => Err(response.forbidden()),
            status if status.is_client_error() => Err(StoreError::InvalidResponse {
                reason: response.describe(),
            }),
            _ => Ok(WriteOutcome::Unknown),
        }
    }

    fn tree_request(&self, prefix: &str, query: &[(&str, &str)]) -> RequestBuilder {
        let mut parameters = vec![("recurse", "true")];
        parameters.extend_from_slice(query);
        self.request(Method::GET, &kv_url_path(prefix), &parameters)
    }

    async fn send_tree_read(
        &self,
        prefix: &str,
        request: RequestBuilder,
    ) -> Result<TreeSnapshot, StoreError> {
        let response = self.send_read(request).await?;
        let entries = response
            .pairs()?
            .into_iter()
            .filter(|pair| !pair.key.ends_with('/'))
            .map(|pair| pair.into_entry(prefix))
            .collect();
        Ok(TreeSnapshot {
            index: response.index,
            entries,
            subtrees: None,
        })
    }

    async fn send_list(&self, request: RequestBuilder) -> Result<Listing, StoreError> {
        let response = self.send_read(request).await?;
        Ok(Listing {
            index: response.index,
            children: response.list(&String::from_utf8_lossy(&response.body))?,
        })
    }

    /// Returns the parameters of a read that waits for a change. The wait is randomised.
    fn blocking_query(&self, index: u64) -> BlockingQuery {
        let max_wait_ms = self.settings.watch_wait_ms;
        let wait_ms = rand::rng().random_range(max_wait_ms * 4 / 5..=max_wait_ms);
        BlockingQuery {
            index: index.to_string(),
            wait: format!("{wait_ms}ms"),
            timeout: Duration::from_millis(self.settings.watch_timeout_ms(wait_ms)),
        }
    }
}

impl Store for ConsulStore {
    async fn read_tree(&self, prefix: &str) -> Result<TreeSnapshot, StoreError> {
        self.send_tree_read(prefix, self.tree_request(prefix, &[]))
            .await
    }

    async fn watch_tree(&self, prefix: &str, index: u64) -> Result<TreeSnapshot, StoreError> {
        let blocking_query = self.blocking_query(index);
        let request = self
            .tree_request(prefix, &blocking_query.parameters())
            .timeout(blocking_query.timeout);
        self.send_tree_read(prefix, request).await
    }

    async fn list(&self, prefix: &str) -> Result<Listing, StoreError> {
        // Subtrees that this listing shows as unchanged are not read, so it must not be older than
        // the listing that reported the change.
        let mut query = LIST_QUERY.to_vec();
        query.push(("consistent", "true"));
        let request = self.request(Method::GET, &kv_url_path(prefix), &query);
        self.send_list(request).await
    }

    async fn watch_list(&self, prefix: &str, index: u64) -> Result<Listing, StoreError> {
        let blocking_query = self.blocking_query(index);
        let mut query = LIST_QUERY.to_vec();
        query.extend(blocking_query.parameters());
        let request = self
            .request(Method::GET, &kv_url_path(prefix), &query)
            .timeout(blocking_query.timeout);
        self.send_list(request).await
    }

    async fn read(&self, key: &str) -> Result<Option<StoredRecord>, StoreError> {
        let request = self.request(Method::GET, &kv_url_path(key), &[]);
        let response = self.send_read(request).await?;
        let text = String::from_utf8_lossy(&response.body);
        let pair = response.list::<KvPair>(&text)?.into_iter().next();
        pair.map(KvPair::into_record).transpose()
    }

    async fn write(
        &self,
        key: &str,
        value: &str,
        expected: u64,
    ) -> Result<WriteOutcome, StoreError> {
        let query = [("cas", &*expected.to_string())];
        let request = self.request(Method::PUT, &kv_url_path(key), &query);
        self.send_write(request.body(value.to_owned())).await
    }

    async fn delete(&self, key: &str, expected: u64) -> Result<WriteOutcome, StoreError> {
        let query = [("cas", &*expected.to_string())];
        self.send_write(self.request(Method::DELETE, &kv_url_path(key), &query))
            .await
    }

    async fn create_session(&self, ttl: Duration) -> Result<SessionId, StoreError> {
        let session = serde_json::json!({
            "Name": "basilstep",
            "TTL": format!("{}ms", ttl.as_millis()),
            "Behavior": "delete",
            "LockDelay": "0s",
        });
        let request = self.request(Method::PUT, "/v1/session/create", &[]);
        let response = self.send_read(request.json(&session)).await?;
        let created: CreatedSession = response.json()?;
        Ok(SessionId(created.id))
    }

    async fn renew_session(&self, session: &SessionId) -> Result<RenewalOutcome, StoreError> {
        let path = format!("/v1/session/renew/{session}");
        let response = self
            .send_read(self.request(Method::PUT, &path, &[]))
            .await?;
        Ok(match response.status {
            StatusCode::NOT_FOUND => RenewalOutcome::Expired,
            _ => RenewalOutcome::Renewed,
        })
    }

    async fn destroy_session(&self, session: &SessionId) -> Result<(), StoreError> {
        let path = format!("/v1/session/destroy/{session}");
        self.send_read(self.request(Method::PUT, &path, &[]))
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
        let request = self.request(Method::PUT, &kv_url_path(key), &query);
        self.send_write(request.body(value.to_owned())).await
    }
}

impl ApiResponse {
    fn describe(&self) -> String {
        let body = String::from_utf8_lossy(&self.body);
        let excerpt: String = body.chars().take(200).collect();
        format!("status {}: {excerpt}", self.status.as_u16())
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

    /// Decodes pairs one by one: an odd one is left out, the others hold.
    fn pairs(&self) -> Result<Vec<KvPair>, StoreError> {
        let text = String::from_utf8_lossy(&self.body);
        let pairs: Vec<&RawValue> = self.list(&text)?;
        Ok(pairs.into_iter().filter_map(KvPair::decode).collect())
    }

    fn list<'a, T: Deserialize<'a>>(&self, text: &'a str) -> Result<Vec<T>, StoreError> {
        if self.index == 0 {
            let reason = format!("no {INDEX_HEADER} header");
            return Err(StoreError::InvalidResponse { reason });
        }
        match self.status {
            StatusCode::NOT_FOUND => Ok(Vec::new()),
            _ => serde_json::from_str(text).map_err(|error| StoreError::InvalidResponse {
                reason: error.to_string(),
            }),
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
        // A value that is not UTF-8 is rejected later as malformed, for its own path only.
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }

    /// Decodes a pair of a list; `None` if it has no key.
    ///
    /// If its other fields cannot be read, the value is empty, which is rejected later for its own path
    /// only; a record that is not in the list would count as deleted.
    fn decode(pair: &RawValue) -> Option<Self> {
        let malformed = match serde_json::from_str(pair.get()) {
            Ok(pair) => return Some(pair),
            Err(error) => error,
        };
        let key = serde_json::from_str::<KeyOfPair>(pair.get());
        let key = key.map(|pair| pair.key).ok();
        log::warn!(key = key.as_deref(), reason:% = malformed; "cannot read an entry of the store");
        Some(Self {
            key: key?,
            value: None,
            modify_index: 0,
            session: None,
        })
    }

    fn into_entry(self, prefix: &str) -> SettingsEntry {
        let value = self.text().unwrap_or_else(|error| {
            log::warn!(reason:% = error; "cannot read the value of an entry of the store");
            String::new()
        });
        let path = self.key.strip_prefix(prefix).unwrap_or(&self.key);
        SettingsEntry {
            path: path.to_owned(),
            version: self.modify_index,
            value: Some(value),
        }
    }

    fn into_record(self) -> Result<StoredRecord, StoreError> {
        Ok(StoredRecord {
            version: self.modify_index,
            value: self.text()?,
            session: self.session.map(SessionId),
        })
    }
}

fn kv_url_path(key: &str) -> String {
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
