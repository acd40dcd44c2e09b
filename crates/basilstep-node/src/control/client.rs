use super::auth::{AUTH_HEADER, Credential};
use crate::clock::unix_time_s;
use basilstep_core::{codes::ResultCode, crypto::SipHashKey};
use std::{net::SocketAddrV4, time::Duration};

const TIMEOUT_MS: u64 = 3_000;

/// Why a control request has no result.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The process did not answer.
    #[error("{} {address}: {reason}", ResultCode::PeerUnreachable)]
    Unreachable {
        /// The process that was asked.
        address: SocketAddrV4,
        /// The error of the HTTP client.
        reason: String,
    },
    /// The process refused.
    #[error("{code} from {address}")]
    Refused {
        /// The process that was asked.
        address: SocketAddrV4,
        /// Its answer.
        code: ResultCode,
    },
}

impl ControlError {
    /// Returns the numbered code of the failure.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Unreachable { .. } => ResultCode::PeerUnreachable,
            Self::Refused { code, .. } => *code,
        }
    }
}

/// Sends authenticated control requests to processes.
#[derive(Clone, Debug)]
pub struct ControlClient {
    key: SipHashKey,
    http: reqwest::Client,
}

impl ControlClient {
    /// Opens a client that signs with the control key.
    ///
    /// # Panics
    ///
    /// Panics when the HTTP library cannot start, which a client without TLS never does.
    pub fn open(key: SipHashKey) -> Self {
        let http = reqwest::Client::builder()
            .timeout(Duration::from_millis(TIMEOUT_MS))
            .no_proxy()
            .build()
            .expect("a client without TLS always starts");
        Self { key, http }
    }

    /// Reads `path` at a process.
    ///
    /// # Errors
    ///
    /// Returns [`ControlError`] when the process does not answer or refuses.
    pub async fn get(&self, address: SocketAddrV4, path: &str) -> Result<Vec<u8>, ControlError> {
        self.send(address, "GET", path, Vec::new()).await
    }

    /// Sends `body` to `path` at a process.
    ///
    /// # Errors
    ///
    /// Returns [`ControlError`] when the process does not answer or refuses.
    pub async fn post(
        &self,
        address: SocketAddrV4,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Vec<u8>, ControlError> {
        self.send(address, "POST", path, body).await
    }

    async fn send(
        &self,
        address: SocketAddrV4,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Vec<u8>, ControlError> {
        let unreachable = |error: reqwest::Error| ControlError::Unreachable {
            address,
            reason: error.to_string(),
        };
        let credential = Credential::sign(
            &self.key,
            method,
            path,
            unix_time_s(),
            rand::random::<u64>(),
        );
        let url = format!("http://{address}{path}");
        let request = match method {
            "POST" => self.http.post(url).body(body),
            _ => self.http.get(url),
        };
        let response = request
            .header(AUTH_HEADER, credential.to_header())
            .send()
            .await
            .map_err(unreachable)?;
        let code = code_of(&response);
        let body = response.bytes().await.map_err(unreachable)?;
        if code == ResultCode::Done {
            Ok(body.to_vec())
        } else {
            Err(ControlError::Refused { address, code })
        }
    }
}

fn code_of(response: &reqwest::Response) -> ResultCode {
    response
        .headers()
        .get("basilstep-code")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse::<u16>().ok())
        .and_then(|number| ResultCode::try_from(number).ok())
        .unwrap_or(ResultCode::PeerUnreachable)
}
