//! Response bodies with checksums, so that a caller can verify that a response is complete and its
//! own.

use basilstep_core::crypto::{SipHashKey, encode_hex};
use serde::{Deserialize, Serialize};

/// A fixed key: the checksums detect damaged or mixed-up responses, not attacks.
const CHECKSUM_KEY: SipHashKey = SipHashKey([7; 16]);

/// The response body for an offer, an upload or a quote.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Receipt {
    /// The service that the target serves.
    pub service: String,
    /// The address of the target.
    pub target: String,
    /// The operation id of the caller: the body of an offer, or the last segment of the path.
    pub operation: String,
    /// The length of the request body that the target received.
    pub length_bytes: u64,
    /// The checksum of the request body that the target received.
    pub body_checksum: String,
    /// Padding that makes the response longer than one packet.
    pub filler: String,
    /// The checksum of all other fields.
    pub checksum: String,
}

/// One line of a board.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BoardLine {
    /// The service that the target serves.
    pub service: String,
    /// The address of the target.
    pub target: String,
    /// The id of the board: the last segment of the path.
    pub board: String,
    /// Starts at 0 and increases by one with each line.
    pub sequence: u64,
}

impl Receipt {
    /// Creates the receipt of a request.
    pub fn new(service: &str, target: &str, operation: &str, body: &[u8], filler: usize) -> Self {
        let mut receipt = Self {
            service: service.to_owned(),
            target: target.to_owned(),
            operation: operation.to_owned(),
            length_bytes: body.len() as u64,
            body_checksum: checksum(&[body]),
            filler: "x".repeat(filler),
            checksum: String::new(),
        };
        receipt.checksum = receipt.compute_checksum();
        receipt
    }

    /// Returns whether the receipt is undamaged and belongs to this request.
    pub fn matches_request(&self, operation: &str, body: &[u8]) -> bool {
        self.operation == operation
            && self.length_bytes == body.len() as u64
            && self.body_checksum == checksum(&[body])
            && self.checksum == self.compute_checksum()
    }

    fn compute_checksum(&self) -> String {
        checksum(&[
            self.service.as_bytes(),
            self.target.as_bytes(),
            self.operation.as_bytes(),
            &self.length_bytes.to_be_bytes(),
            self.body_checksum.as_bytes(),
            self.filler.as_bytes(),
        ])
    }
}

fn checksum(parts: &[&[u8]]) -> String {
    encode_hex(&CHECKSUM_KEY.siphash(parts).to_be_bytes())
}
