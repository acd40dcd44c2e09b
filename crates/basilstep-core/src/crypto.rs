//! Key derivation, authenticated encryption and message authentication codes.
//!
//! All keys are derived from the cluster key, which each process reads from its settings. Only
//! the flow keys are not: they rotate and are kept in the store, encrypted under the cluster key.

use ring::{
    aead::{Aad, CHACHA20_POLY1305, LessSafeKey, NONCE_LEN, Nonce, UnboundKey},
    hmac,
};
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;
use std::{fmt, hash::Hasher};

/// The length of the cluster key in bytes.
pub const CLUSTER_KEY_BYTES: usize = 32;

/// The root key shared by all processes and `basilstep-ctl`.
#[derive(Clone, Eq, PartialEq)]
pub struct ClusterKey([u8; CLUSTER_KEY_BYTES]);

/// A 128-bit `SipHash-2-4` key for short message authentication codes.
#[derive(Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct SipHashKey(pub [u8; 16]);

/// An error in reading or decrypting key material.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum KeyError {
    /// The text is not 64 hexadecimal digits.
    #[error("a cluster key is 64 hexadecimal digits")]
    NotHex,
    /// The value was not encrypted under this key for this purpose.
    #[error("the value was not encrypted under this cluster key")]
    NotAuthentic,
}

impl ClusterKey {
    /// Creates a key from raw key material.
    pub const fn new(bytes: [u8; CLUSTER_KEY_BYTES]) -> Self {
        Self(bytes)
    }

    /// Parses a key from 64 hexadecimal digits.
    ///
    /// # Errors
    ///
    /// Returns [`KeyError::NotHex`] for any other text.
    pub fn from_hex(text: &str) -> Result<Self, KeyError> {
        let bytes = decode_hex(text).ok_or(KeyError::NotHex)?;
        let bytes = <[u8; CLUSTER_KEY_BYTES]>::try_from(bytes).or(Err(KeyError::NotHex))?;
        Ok(Self(bytes))
    }

    /// Derives a 128-bit key for one purpose, such as `carrier` or `gossip`.
    pub fn derive(&self, purpose: &str) -> SipHashKey {
        let tag = self.derive_256_bit(purpose);
        let mut key = [0; 16];
        key.copy_from_slice(&tag[..16]);
        SipHashKey(key)
    }

    /// Derives a key of 32 bytes for one purpose.
    pub fn derive_256_bit(&self, purpose: &str) -> [u8; 32] {
        let key = hmac::Key::new(hmac::HMAC_SHA256, &self.0);
        let tag = hmac::sign(&key, purpose.as_bytes());
        let mut out = [0; 32];
        out.copy_from_slice(tag.as_ref());
        out
    }

    /// Encrypts a secret with ChaCha20-Poly1305, so that the store never holds it in clear text;
    /// returns hexadecimal text.
    ///
    /// `nonce` must be fresh random bytes.
    ///
    /// # Panics
    ///
    /// Panics when the cipher rejects a key of its own length or a secret of many gigabytes.
    pub fn seal(&self, purpose: &str, nonce: [u8; NONCE_LEN], secret: &[u8]) -> String {
        let mut sealed = secret.to_vec();
        self.cipher(purpose)
            .seal_in_place_append_tag(
                Nonce::assume_unique_for_key(nonce),
                Aad::empty(),
                &mut sealed,
            )
            .expect("encryption fails only for secrets of many gigabytes");
        format!("{}{}", encode_hex(&nonce), encode_hex(&sealed))
    }

    /// Decrypts a value that [`ClusterKey::seal`] encrypted for the same purpose.
    ///
    /// # Errors
    ///
    /// Returns [`KeyError::NotAuthentic`] for any other text.
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
    /// Returns the 64-bit `SipHash-2-4` hash of the parts, in order.
    pub fn siphash(&self, parts: &[&[u8]]) -> u64 {
        let mut hasher = SipHasher24::new_with_key(&self.0);
        for part in parts {
            hasher.write(part);
        }
        hasher.finish()
    }
}

/// Encodes bytes as hexadecimal digits.
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

/// Decodes hexadecimal digits; returns `None` for any other text.
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
