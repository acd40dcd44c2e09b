use basilstep_core::crypto::{ShortKey, decode_hex, encode_hex};
use std::collections::BTreeSet;

/// The header that proves that a request comes from a holder of the cluster key.
pub const AUTH_HEADER: &str = "basilstep-auth";

const MAX_AGE_S: u64 = 60;
const MAX_REMEMBERED: usize = 100_000;

/// A signed statement that one request was made at one time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Credential {
    time_s: u64,
    nonce: u64,
    code: u64,
}

impl Credential {
    /// Signs a request.
    pub fn sign(key: &ShortKey, method: &str, path: &str, time_s: u64, nonce: u64) -> Self {
        let code = code_of(key, method, path, time_s, nonce);
        Self {
            time_s,
            nonce,
            code,
        }
    }

    /// Writes the value of the header.
    pub fn to_header(self) -> String {
        let mut bytes = Vec::with_capacity(24);
        bytes.extend(self.time_s.to_be_bytes());
        bytes.extend(self.nonce.to_be_bytes());
        bytes.extend(self.code.to_be_bytes());
        encode_hex(&bytes)
    }

    /// Reads the value of the header; `None` when it is malformed.
    pub fn from_header(text: &str) -> Option<Self> {
        let bytes: [u8; 24] = decode_hex(text)?.try_into().ok()?;
        let number = |at: usize| u64::from_be_bytes(std::array::from_fn(|i| bytes[at + i]));
        Some(Self {
            time_s: number(0),
            nonce: number(8),
            code: number(16),
        })
    }
}

/// Checks credentials and refuses one that is shown a second time.
#[derive(Debug)]
pub struct CredentialVerifier {
    key: ShortKey,
    seen: BTreeSet<(u64, u64)>,
}

impl CredentialVerifier {
    /// Creates a guard for one key.
    pub fn new(key: ShortKey) -> Self {
        Self {
            key,
            seen: BTreeSet::new(),
        }
    }

    /// Tells whether the header authenticates this request now.
    pub fn verify(&mut self, header: &str, method: &str, path: &str, now_s: u64) -> bool {
        let Some(credential) = Credential::from_header(header) else {
            return false;
        };
        if now_s.abs_diff(credential.time_s) > MAX_AGE_S {
            return false;
        }
        let expected = code_of(&self.key, method, path, credential.time_s, credential.nonce);
        if credential.code != expected {
            return false;
        }
        self.forget_before(now_s.saturating_sub(MAX_AGE_S));
        let identity = (credential.time_s, credential.nonce);
        self.seen.len() < MAX_REMEMBERED && self.seen.insert(identity)
    }

    fn forget_before(&mut self, time_s: u64) {
        self.seen = self.seen.split_off(&(time_s, 0));
    }
}

fn code_of(key: &ShortKey, method: &str, path: &str, time_s: u64, nonce: u64) -> u64 {
    let parts: [&[u8]; 5] = [
        method.as_bytes(),
        b" ",
        path.as_bytes(),
        &time_s.to_be_bytes(),
        &nonce.to_be_bytes(),
    ];
    key.code(&parts)
}
