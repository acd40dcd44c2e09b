use super::{body::ResponseBody, dispatcher::Refusal};
use basilstep_core::codes::ResultCode;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header};
use http_body_util::Full;
use serde::{Deserialize, Serialize};

/// The header that names the numbered outcome of an answer that the system made itself.
pub const CODE_HEADER: &str = "basilstep-code";

/// The header that tells in milliseconds when to come back.
pub const RETRY_AFTER_MS_HEADER: &str = "basilstep-retry-after-ms";

const DEFAULT_RETRY_AFTER_MS: u32 = 200;
const MAX_JITTER_MS: u32 = 400;
const MS_PER_S: u32 = 1_000;

/// An answer in the form in which it is recorded for duplicates.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordedResponse {
    status: u16,
    content_type: Option<String>,
    body: Vec<u8>,
}

impl RecordedResponse {
    /// Takes what a duplicate gets of an answer.
    pub fn from_parts(head: &http::response::Parts, body: &[u8]) -> Self {
        let content_type = head.headers.get(header::CONTENT_TYPE);
        Self {
            status: head.status.as_u16(),
            content_type: content_type
                .and_then(|value| value.to_str().ok())
                .map(str::to_owned),
            body: body.to_vec(),
        }
    }

    /// Writes the recorded form.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads the recorded form and makes the answer.
    pub fn decode_response(bytes: &[u8]) -> Response<ResponseBody> {
        let Ok(recorded) = postcard::from_bytes::<Self>(bytes) else {
            return code_response(ResultCode::AnswerNotKept);
        };
        let mut response = Response::new(buffered_body(recorded.body));
        *response.status_mut() = StatusCode::from_u16(recorded.status).unwrap_or(StatusCode::OK);
        if let Some(content_type) = recorded.content_type {
            insert_header(response.headers_mut(), header::CONTENT_TYPE, &content_type);
        }
        response
    }
}

/// Makes the answer for a request that has no answer of a target.
pub fn code_response(code: ResultCode) -> Response<ResponseBody> {
    let retry_after_ms = DEFAULT_RETRY_AFTER_MS + rand::random::<u32>() % MAX_JITTER_MS;
    refusal_response(Refusal {
        code,
        retry_after_ms,
    })
}

/// Makes the answer for a refusal that says when to come back.
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

/// Sets a header if the value can stand in one.
pub fn insert_header(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Makes a body of bytes that are at hand.
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
