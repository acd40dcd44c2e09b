//! One request of a caller, from its arrival to its final answer.

mod body;

pub use body::{AnswerBody, CallerBody};

use crate::{shared::Shared, target};
use basilstep_core::codes::ResultCode;
use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body::Body;
use http_body_util::Full;
use std::sync::Arc;

/// The header that names the numbered outcome of an answer that the system made itself.
pub const CODE_HEADER: &str = "basilstep-code";

/// Answers one request.
pub async fn answer<B>(shared: &Arc<Shared>, request: Request<B>) -> Response<AnswerBody>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    match target::send(shared, request).await {
        Ok(response) => response.map(AnswerBody::PassedOn),
        Err(code) => refuse(code),
    }
}

/// Makes the answer for a request that has no answer of a target.
pub fn refuse(code: ResultCode) -> Response<AnswerBody> {
    let text = format!("{code}: {}\n", code.meaning().trim());
    let mut response = Response::new(AnswerBody::Own(Full::new(Bytes::from(text))));
    *response.status_mut() = status_of(code);
    let number = HeaderValue::from(code.number());
    response.headers_mut().insert(CODE_HEADER, number);
    response
}

fn status_of(code: ResultCode) -> StatusCode {
    match code {
        ResultCode::TicketRequired => StatusCode::PRECONDITION_REQUIRED,
        ResultCode::BadRequest => StatusCode::BAD_REQUEST,
        ResultCode::KeyInProgress => StatusCode::CONFLICT,
        code if code.is_not_run() => StatusCode::SERVICE_UNAVAILABLE,
        ResultCode::DeadlineAfterSend => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}
