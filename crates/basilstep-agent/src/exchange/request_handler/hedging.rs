//! Which requests may get a second copy.

use super::{Destination, RequestHandler, RequestOrigin, header_text};
use basilstep_core::requests::FirstCopy;
use bytes::Bytes;
use http::{HeaderMap, Method, header, request::Parts};
use http_body::Body;

impl<B> RequestHandler<B> {
    /// Returns after which time a second copy of the request is sent, if one may be: only beside the
    /// first attempt at the local target.
    pub(super) fn hedge_delay_ms(&self, destination: Destination, attempts: u32) -> Option<u64> {
        if attempts > 1 || !matches!(destination, Destination::Target) {
            return None;
        }
        let copy = FirstCopy {
            method: self.head.method.as_str(),
            has_body: !self.is_bodyless || announces_body(&self.head.headers),
            has_key: self.key.is_some(),
            is_from_caller: matches!(self.origin, RequestOrigin::Flow(_)),
        };
        self.dispatcher.hedge_delay_ms(copy)
    }
}

/// Returns whether a request is passed on without a body, and can be sent again.
///
/// OPTIONS is sent again only where second copies are allowed.
pub(super) fn is_bodyless(
    head: &Parts,
    body: &impl Body<Data = Bytes>,
    allows_hedges: bool,
) -> bool {
    match head.method {
        Method::GET | Method::HEAD => true,
        Method::OPTIONS => {
            allows_hedges && (body.is_end_stream() || has_zero_length(&head.headers))
        }
        _ => false,
    }
}

/// Returns whether the headers say that there is no body.
fn has_zero_length(headers: &HeaderMap) -> bool {
    header_text(headers, header::CONTENT_LENGTH.as_str()) == Some("0")
}

/// Returns whether the headers announce a body that is not empty.
fn announces_body(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) && !has_zero_length(headers)
}

#[cfg(test)]
mod tests;
