use basilstep_core::crypto::{SipHashKey, decode_hex, encode_hex};
use std::collections::BTreeSet;

/// The request header that carries a [`Credential`].
pub const AUTH_HEADER: &str = "basilstep-auth";

const MAX_CREDENTIAL_AGE_S: u64 = 60;
const MAX_SEEN_CREDENTIALS: usize = 100_000;

/// A message authentication code over the method and path of a request, its time and a nonce; it
/// proves that the sender holds the cluster key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Credential {
    time_s: u64,
    nonce: u64,
    mac: u64,
}

impl Credential {
    /// Creates the credential of a request.
    pub fn sign(key: &SipHashKey, method: &str, path: &str, time_s: u64, nonce: u64) -> Self {
        let mac = compute_mac(key, method, path, time_s, nonce);
        Self { time_s, nonce, mac }
    }

    /// Returns the value of [`AUTH_HEADER`] as hexadecimal digits.
    pub fn to_header(self) -> String {
        let mut bytes = Vec::with_capacity(24);
        bytes.extend(self.time_s.to_be_bytes());
        bytes.extend(self.nonce.to_be_bytes());
        bytes.extend(self.mac.to_be_bytes());
        encode_hex(&bytes)
    }

    /// Parses the value of [`AUTH_HEADER`]; returns `None` when it is malformed.
    pub fn from_header(text: &str) -> Option<Self> {
        let bytes: [u8; 24] = decode_hex(text)?.try_into().ok()?;
        let number = |offset: usize| u64::from_be_bytes(std::array::from_fn(|i| bytes[offset + i]));
        Some(Self {
            time_s: number(0),
            nonce: number(8),
            mac: number(16),
        })
    }
}

/// Verifies credentials and rejects replays.
#[derive(Debug)]
pub struct CredentialVerifier {
    key: SipHashKey,
    seen: BTreeSet<(u64, u64)>,
}

impl CredentialVerifier {
    /// Creates a verifier for one key.
    pub fn new(key: SipHashKey) -> Self {
        Self {
            key,
            seen: BTreeSet::new(),
        }
    }

    /// Returns whether the header authenticates this request at `now_s` and was not used before.
    pub fn verify(&mut self, header: &str, method: &str, path: &str, now_s: u64) -> bool {
        let Some(credential) = Credential::from_header(header) else {
            return false;
        };
        if now_s.abs_diff(credential.time_s) > MAX_CREDENTIAL_AGE_S {
            return false;
        }
        let expected = compute_mac(&self.key, method, path, credential.time_s, credential.nonce);
        if credential.mac != expected {
            return false;
        }
        self.remove_older_than(now_s.saturating_sub(MAX_CREDENTIAL_AGE_S));
        let identity = (credential.time_s, credential.nonce);
        self.seen.len() < MAX_SEEN_CREDENTIALS && self.seen.insert(identity)
    }

    fn remove_older_than(&mut self, time_s: u64) {
        self.seen = self.seen.split_off(&(time_s, 0));
    }
}

fn compute_mac(key: &SipHashKey, method: &str, path: &str, time_s: u64, nonce: u64) -> u64 {
    let parts: [&[u8]; 5] = [
        method.as_bytes(),
        b" ",
        path.as_bytes(),
        &time_s.to_be_bytes(),
        &nonce.to_be_bytes(),
    ];
    key.siphash(&parts)
}
