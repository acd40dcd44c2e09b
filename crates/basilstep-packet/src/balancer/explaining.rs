//! The HTTP request that explains the placement of a flow.

#[cfg(test)]
mod tests;

use basilstep_core::{
    codes::ResultCode,
    context::Context,
    flows::{
        BalancerFlows, FlowKey,
        balancer::{Explanation, NoRoute},
    },
};
use basilstep_node::http::ServerResponse;
use bytes::Bytes;
use http::StatusCode;
use serde_json::json;
use std::net::SocketAddrV4;

/// The HTTP path on which a balancer explains the placement of a flow.
pub const EXPLAIN_PATH: &str = "/explain";

/// The error of a request for an explanation.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
enum ExplainError {
    #[error("the parameter {name} is missing; expected: IPv4:PORT")]
    Missing { name: &'static str },
    #[error("the parameter {name} is {found}; expected: IPv4:PORT")]
    Malformed { name: &'static str, found: String },
    #[error("the parameter {name} is given more than once")]
    Repeated { name: &'static str },
    #[error(transparent)]
    NoRoute(#[from] NoRoute),
}

impl ExplainError {
    const fn code(&self) -> ResultCode {
        match self {
            Self::Missing { .. } | Self::Malformed { .. } | Self::Repeated { .. } => {
                ResultCode::BadRequest
            }
            Self::NoRoute(error) => error.code(),
        }
    }

    const fn status(&self) -> StatusCode {
        match self {
            Self::Missing { .. } | Self::Malformed { .. } | Self::Repeated { .. } => {
                StatusCode::BAD_REQUEST
            }
            Self::NoRoute(_) => StatusCode::NOT_FOUND,
        }
    }
}

/// Returns the explanation of the placement of the flow in `query`, or an error with its code.
pub(super) fn answer(flows: &BalancerFlows, query: &str, ctx: &Context) -> ServerResponse {
    match explain(flows, query, ctx) {
        Ok(explanation) => respond(StatusCode::OK, &json!(explanation)),
        Err(error) => {
            let code = error.code();
            let body = json!({
                "code": code.number(),
                "name": code.name(),
                "message": error.to_string(),
            });
            respond(error.status(), &body)
        }
    }
}

fn respond(status: StatusCode, body: &serde_json::Value) -> ServerResponse {
    ServerResponse::json(status, Bytes::from(body.to_string()))
}

fn explain(flows: &BalancerFlows, query: &str, ctx: &Context) -> Result<Explanation, ExplainError> {
    let flow = FlowKey {
        caller: address_in(query, "caller")?,
        service_address: address_in(query, "service_address")?,
    };
    Ok(flows.explain_placement(flow, ctx)?)
}

fn address_in(query: &str, name: &'static str) -> Result<SocketAddrV4, ExplainError> {
    let mut values = form_urlencoded::parse(query.as_bytes())
        .filter(|(key, _)| key == name)
        .map(|(_, value)| value);
    let value = values.next().ok_or(ExplainError::Missing { name })?;
    if values.next().is_some() {
        return Err(ExplainError::Repeated { name });
    }
    value.parse().map_err(|_unparsed| ExplainError::Malformed {
        name,
        found: value.into_owned(),
    })
}
