//! Where a balancer of the packet processes would send a new flow, and why.

#[cfg(test)]
mod tests;
mod text;

use crate::{error::CtlError, output::Report};
use argh::FromArgs;
use basilstep_core::{codes::ResultCode, flows::balancer::Explanation};
use basilstep_node::http::{ClientResponse, HttpClient};
use http::{Method, StatusCode};
use serde::Deserialize;
use serde_json::Value;
use std::{net::SocketAddrV4, time::Duration};

/// How long the balancer may take to answer; it does so between two packets.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Explain which agent a new flow would go to now, without sending anything to it.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "placement",
    example = "{command_name} --balancer 10.0.0.2:9464 --caller 100.64.0.7:40001 --service-address 198.18.0.1:443"
)]
pub struct PlacementArgs {
    /// address of the balancer's metrics or control port, IPv4:PORT
    #[argh(option)]
    balancer: SocketAddrV4,
    /// the caller's address, IPv4:PORT
    #[argh(option)]
    caller: SocketAddrV4,
    /// the address that the caller sends to, IPv4:PORT
    #[argh(option)]
    service_address: SocketAddrV4,
}

/// An error as the balancer answers it.
#[derive(Debug, Deserialize)]
struct ErrorBody {
    code: ResultCode,
    message: String,
}

impl PlacementArgs {
    /// Asks the balancer and returns its explanation.
    ///
    /// # Errors
    ///
    /// Returns [`CtlError`] when the balancer does not answer, answers an error, or its answer cannot
    /// be parsed.
    pub async fn run(&self) -> Result<Report, CtlError> {
        let path = format!(
            "/explain?caller={}&service_address={}",
            self.caller, self.service_address
        );
        let mut client = HttpClient::new(self.balancer);
        let response = client.call(Method::GET, &path, &[], ANSWER_TIMEOUT).await;
        let response = response.map_err(|error| {
            let message = format!("{}: {error}", self.balancer);
            CtlError::new(ResultCode::PeerUnreachable, message)
        })?;
        report(self.balancer, &response)
    }
}

fn report(balancer: SocketAddrV4, response: &ClientResponse) -> Result<Report, CtlError> {
    if response.status != StatusCode::OK {
        return Err(error_in(balancer, response));
    }
    let invalid = |error: serde_json::Error| {
        CtlError::invalid(format!(
            "the explanation of {balancer} cannot be parsed: {error}"
        ))
    };
    let result: Value = serde_json::from_slice(&response.body).map_err(invalid)?;
    let explanation: Explanation = serde_json::from_slice(&response.body).map_err(invalid)?;
    Ok(Report::with_lines(text::lines(&explanation), result))
}

fn error_in(balancer: SocketAddrV4, response: &ClientResponse) -> CtlError {
    match serde_json::from_slice::<ErrorBody>(&response.body) {
        Ok(error) => CtlError::new(error.code, format!("{balancer}: {}", error.message)),
        Err(_) => CtlError::new(
            ResultCode::NotFound,
            format!(
                "{balancer} answers {} without a result code: it is not a packet balancer, or one of an earlier version",
                response.status
            ),
        ),
    }
}
