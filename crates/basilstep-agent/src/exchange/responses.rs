#[cfg(test)]
mod tests;

use super::{body::ResponseBody, dispatcher::Refusal};
use basilstep_core::{codes::ResultCode, requests::RequestResolution};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header};
use http_body_util::Full;
use serde::{Deserialize, Serialize};

/// The header with the result code of a response that the agent itself generated.
pub const CODE_HEADER: &str = "basilstep-code";

/// The header with the time in milliseconds after which the caller should retry.
pub const RETRY_AFTER_MS_HEADER: &str = "basilstep-retry-after-ms";

/// The headers without which a duplicate could not read or use the recorded body.
const RECORDED_HEADERS: [HeaderName; 4] = [
    header::CONTENT_TYPE,
    header::CONTENT_ENCODING,
    header::CONTENT_LANGUAGE,
    header::LOCATION,
];

const DEFAULT_RETRY_AFTER_MS: u32 = 200;
const MAX_JITTER_MS: u32 = 400;
const MS_PER_S: u32 = 1_000;

/// A response as it is recorded for duplicates of its request, encoded with postcard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordedResponse {
    status: u16,
    headers: Vec<(String, Vec<u8>)>,
    body: Vec<u8>,
}

impl RecordedResponse {
    /// Extracts the parts of a response that duplicates of the request receive.
    pub fn from_parts(head: &http::response::Parts, body: &[u8]) -> Self {
        let headers = RECORDED_HEADERS.iter().filter_map(|name| {
            let value = head.headers.get(name)?;
            Some((name.as_str().to_owned(), value.as_bytes().to_vec()))
        });
        Self {
            status: head.status.as_u16(),
            headers: headers.collect(),
            body: body.to_vec(),
        }
    }

    /// Encodes the response for the record.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a recorded response into an HTTP response.
    pub fn decode_response(bytes: &[u8]) -> Response<ResponseBody> {
        let Ok(recorded) = postcard::from_bytes::<Self>(bytes) else {
            return code_response(ResultCode::AnswerNotKept);
        };
        let mut response = Response::new(buffered_body(recorded.body));
        *response.status_mut() = StatusCode::from_u16(recorded.status).unwrap_or(StatusCode::OK);
        for (name, value) in recorded.headers {
            let name = HeaderName::try_from(name);
            if let (Ok(name), Ok(value)) = (name, HeaderValue::try_from(value)) {
                response.headers_mut().insert(name, value);
            }
        }
        response
    }
}

/// Builds the response for a request that got no response from a target.
pub fn code_response(code: ResultCode) -> Response<ResponseBody> {
    let retry_after_ms = DEFAULT_RETRY_AFTER_MS + rand::random::<u32>() % MAX_JITTER_MS;
    refusal_response(Refusal {
        code,
        retry_after_ms,
    })
}

/// Builds the response for a refusal; it carries the refusal's retry time if the request was not
/// run.
pub fn refusal_response(refusal: Refusal) -> Response<ResponseBody> {
    let Refusal {
        code,
        retry_after_ms,
    } = refusal;
    let text = format!("{code}: {}\n", code.meaning().trim());
    let mut response = Response::new(buffered_body(text.into_bytes()));
    *response.status_mut() = http_status(code);
    let headers = response.headers_mut();
    headers.insert(CODE_HEADER, HeaderValue::from(code.number()));
    if code.is_not_run() {
        headers.insert(RETRY_AFTER_MS_HEADER, HeaderValue::from(retry_after_ms));
        let seconds = retry_after_ms.div_ceil(MS_PER_S).max(1);
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Builds the response for a request whose attempts all failed, the last one by `refusal` if admission
/// refused it.
pub fn failure_response(
    resolution: RequestResolution,
    refusal: Option<Refusal>,
) -> Response<ResponseBody> {
    match (resolution, refusal) {
        (RequestResolution::NotRun(code), Some(refusal)) if refusal.code == code => {
            refusal_response(refusal)
        }
        (RequestResolution::NotRun(code) | RequestResolution::Unknown(code), _) => {
            code_response(code)
        }
    }
}

/// Inserts a header, or does nothing when the value is not a valid header value.
pub fn insert_header(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Builds a body from bytes in memory.
pub fn buffered_body(bytes: Vec<u8>) -> ResponseBody {
    ResponseBody::Buffered(Full::new(Bytes::from(bytes)))
}

fn http_status(code: ResultCode) -> StatusCode {
    match code {
        ResultCode::TicketRequired => StatusCode::PRECONDITION_REQUIRED,
        ResultCode::BadRequest => StatusCode::BAD_REQUEST,
        ResultCode::KeyInProgress => StatusCode::CONFLICT,
        ResultCode::DeadlineAfterSend => StatusCode::GATEWAY_TIMEOUT,
        code if code.is_not_run() => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::BAD_GATEWAY,
    }
}
