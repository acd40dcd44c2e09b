//! Keys and authentication codes, all through well-known libraries.
//!
//! Everything is derived from the cluster key, which each process gets from its settings, except
//! the flow keys, which rotate and live in the store, sealed under the cluster key.

use ring::{
    aead::{Aad, CHACHA20_POLY1305, LessSafeKey, NONCE_LEN, Nonce, UnboundKey},
    hmac,
};
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;
use std::{fmt, hash::Hasher};

/// The length of the cluster key in bytes.
pub const CLUSTER_KEY_BYTES: usize = 32;

/// The root key that all processes and `basilstep-ctl` share.
#[derive(Clone, Eq, PartialEq)]
pub struct ClusterKey([u8; CLUSTER_KEY_BYTES]);

/// A 128-bit key for short authentication codes.
#[derive(Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct SipHashKey(pub [u8; 16]);

/// A failure to open or read key material.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum KeyError {
    /// The text is not 64 hexadecimal digits.
    #[error("a cluster key is 64 hexadecimal digits")]
    NotHex,
    /// The sealed value was not sealed under this key for this purpose.
    #[error("the value was not sealed under this cluster key")]
    NotAuthentic,
}

impl ClusterKey {
    /// Takes raw key material.
    pub const fn new(bytes: [u8; CLUSTER_KEY_BYTES]) -> Self {
        Self(bytes)
    }

    /// Reads a key from 64 hexadecimal digits.
    ///
    /// # Errors
    ///
    /// Returns [`KeyError::NotHex`] for any other text.
    pub fn from_hex(text: &str) -> Result<Self, KeyError> {
        let bytes = decode_hex(text).ok_or(KeyError::NotHex)?;
        let bytes = <[u8; CLUSTER_KEY_BYTES]>::try_from(bytes).or(Err(KeyError::NotHex))?;
        Ok(Self(bytes))
    }

    /// Derives the key for one purpose, such as `carrier` or `gossip`.
    pub fn derive(&self, purpose: &str) -> SipHashKey {
        let tag = self.derive_256_bit(purpose);
        let mut key = [0; 16];
        key.copy_from_slice(&tag[..16]);
        SipHashKey(key)
    }

    /// Derives 32 bytes for one purpose.
    pub fn derive_256_bit(&self, purpose: &str) -> [u8; 32] {
        let key = hmac::Key::new(hmac::HMAC_SHA256, &self.0);
        let tag = hmac::sign(&key, purpose.as_bytes());
        let mut out = [0; 32];
        out.copy_from_slice(tag.as_ref());
        out
    }

    /// Encrypts a secret so that the store never holds it in clear; returns hexadecimal text.
    ///
    /// `nonce` must be fresh random bytes.
    ///
    /// # Panics
    ///
    /// Panics when the cipher library refuses a key of its own length, which it never does.
    pub fn seal(&self, purpose: &str, nonce: [u8; NONCE_LEN], secret: &[u8]) -> String {
        let mut sealed = secret.to_vec();
        self.cipher(purpose)
            .seal_in_place_append_tag(
                Nonce::assume_unique_for_key(nonce),
                Aad::empty(),
                &mut sealed,
            )
            .expect("sealing fails only for secrets of many gigabytes");
        format!("{}{}", encode_hex(&nonce), encode_hex(&sealed))
    }

    /// Decrypts what [`ClusterKey::seal`] made for the same purpose.
    ///
    /// # Errors
    ///
    /// Returns [`KeyError::NotAuthentic`] for anything else.
    pub fn open(&self, purpose: &str, sealed: &str) -> Result<Vec<u8>, KeyError> {
        let bytes = decode_hex(sealed).ok_or(KeyError::NotAuthentic)?;
        let (nonce, sealed) = bytes
            .split_at_checked(NONCE_LEN)
            .ok_or(KeyError::NotAuthentic)?;
        let nonce = Nonce::try_assume_unique_for_key(nonce).or(Err(KeyError::NotAuthentic))?;
        let mut secret = sealed.to_vec();
        let length = self
            .cipher(purpose)
            .open_in_place(nonce, Aad::empty(), &mut secret)
            .or(Err(KeyError::NotAuthentic))?
            .len();
        secret.truncate(length);
        Ok(secret)
    }

    fn cipher(&self, purpose: &str) -> LessSafeKey {
        let key = self.derive_256_bit(&format!("seal:{purpose}"));
        LessSafeKey::new(
            UnboundKey::new(&CHACHA20_POLY1305, &key).expect("a derived key has the right length"),
        )
    }
}

impl fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClusterKey(hidden)")
    }
}

impl fmt::Debug for SipHashKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SipHashKey(hidden)")
    }
}

impl SipHashKey {
    /// Returns the 64-bit SipHash-2-4 code of the parts, in order.
    pub fn siphash(&self, parts: &[&[u8]]) -> u64 {
        let mut hasher = SipHasher24::new_with_key(&self.0);
        for part in parts {
            hasher.write(part);
        }
        hasher.finish()
    }
}

/// Writes bytes as hexadecimal digits.
pub fn encode_hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        text.push(hex_digit(byte >> 4));
        text.push(hex_digit(byte & 0x0f));
    }
    text
}

fn hex_digit(value: u8) -> char {
    char::from_digit(u32::from(value), 16).unwrap_or('0')
}

/// Reads hexadecimal digits; `None` when the text is anything else.
pub fn decode_hex(text: &str) -> Option<Vec<u8>> {
    let digits = text.as_bytes();
    if !digits.len().is_multiple_of(2) || !digits.is_ascii() {
        return None;
    }
    digits
        .chunks_exact(2)
        .map(|pair| u8::from_str_radix(str::from_utf8(pair).ok()?, 16).ok())
        .collect()
}
