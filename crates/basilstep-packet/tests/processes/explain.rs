//! Explanations of placements over HTTP.

use super::{fleet::entry, support::fleet::Fleet};
use basilstep_core::codes::ResultCode;
use http::StatusCode;
use serde_json::Value;
use std::net::SocketAddrV4;

async fn explain(fleet: &Fleet, query: &str) -> (StatusCode, Value) {
    let path = format!("/explain?{query}");
    fleet
        .get_json(1, &path)
        .await
        .expect("the balancer answers")
}

/// Guards against a request that is not served where `/state` is, names another agent than the only
/// one, or ends without a numbered error.
#[tokio::test]
async fn balancer_explains_the_placement_of_a_flow() {
    let mut fleet = Fleet::start("explain").await;
    fleet.configure(1, entry());
    fleet.start_balancer(1);
    let (_, _target) = fleet.start_agent(11).await;
    fleet.await_ready(1).await;
    let caller: SocketAddrV4 = "100.64.0.7:40001".parse().unwrap();

    let query = format!("caller={caller}&service_address={}", entry());
    let (status, explanation) = explain(&fleet, &query).await;
    assert_eq!(status, StatusCode::OK, "{explanation}");
    assert_eq!(explanation["version"], 1);
    assert_eq!(explanation["outcome"]["agent"], fleet.ip(11).to_string());
    assert_eq!(explanation["hint"], Value::Null);

    let no_route = format!("caller={caller}&service_address=198.18.0.9:443");
    let (status, error) = explain(&fleet, &no_route).await;
    assert_eq!(status, StatusCode::NOT_FOUND);
    assert_eq!(error["code"], ResultCode::ServiceUnknown.number());

    let (status, error) = explain(&fleet, "caller=nowhere").await;
    assert_eq!(status, StatusCode::BAD_REQUEST);
    assert_eq!(error["code"], ResultCode::BadRequest.number());
}
