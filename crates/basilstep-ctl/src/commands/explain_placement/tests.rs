use super::report;
use basilstep_core::codes::ResultCode;
use basilstep_node::http::ClientResponse;
use http::{HeaderMap, StatusCode};
use serde_json::{Value, json};
use std::net::{Ipv4Addr, SocketAddrV4};

const BALANCER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 2), 9_464);

fn response(status: StatusCode, body: &Value) -> ClientResponse {
    ClientResponse {
        status,
        headers: HeaderMap::new(),
        body: body.to_string().into(),
    }
}

fn explanation() -> Value {
    let terms = json!({
        "at_work": 3, "offered_since": 1, "open_flows": 20, "is_cold": true,
        "is_other_domain": true, "slowdown": 1.0, "capacity": 4,
    });
    json!({
        "flow": {"caller": "100.64.0.7:40001", "service_address": "198.18.0.1:443"},
        "version": 12,
        "service": [1, 2, 3, 4, 5, 6],
        "request_kind": "idempotent",
        "priority_level": 1,
        "priority_levels": 2,
        "latency_goal_ms": 300,
        "hint": null,
        "outcome": {"kind": "chosen", "agent": "10.1.0.1"},
        "candidates": [{"agent": "10.1.0.1", "expected_wait": 3.55, "terms": terms}],
        "passed_over": [{"agent": "10.1.0.2", "reason": "domain_out"}],
        "left_out": 3,
    })
}

/// Guards against an output that leaves out the choice, a term of it or a reason.
#[test]
fn text_has_the_choice_the_candidates_and_those_passed_over() {
    let report = report(BALANCER, &response(StatusCode::OK, &explanation())).unwrap();
    assert_eq!(
        report.lines,
        [
            "goes to 10.1.0.1: the only candidate",
            "route of 198.18.0.1:443 in version 12: service 010203040506, idempotent, \
             priority level 1 of 2 (0 is the highest), latency goal 300 ms",
            "candidate         wait at work offered  open slowdown capacity  notes",
            "10.1.0.1          3.55       3       1    20     1.00        4  cold, other domain",
            "passed over 10.1.0.2: its failure domain is out",
            "3 more agents",
        ]
    );
    assert_eq!(report.result, explanation());
}

/// Guards against a refusal that reads like a choice.
#[test]
fn text_of_a_refusal_has_its_code() {
    let mut body = explanation();
    body["outcome"] = json!({"kind": "refused", "code": 407});
    let report = report(BALANCER, &response(StatusCode::OK, &body)).unwrap();
    assert!(report.lines[0].starts_with("goes to no agent: 407 NoTarget"));
}

/// Guards against an exit status that is not that of the balancer's error.
#[test]
fn error_of_the_balancer_keeps_its_code() {
    let body = json!({"code": 111, "name": "ServiceUnknown", "message": "no route"});
    let error = report(BALANCER, &response(StatusCode::NOT_FOUND, &body)).unwrap_err();
    assert_eq!(error.code, ResultCode::ServiceUnknown);
    assert_eq!(error.message, "10.0.0.2:9464: no route");
}

/// Guards against the `{}` of processes without this request being taken for an explanation.
#[test]
fn answer_without_a_code_is_not_found() {
    let error = report(BALANCER, &response(StatusCode::NOT_FOUND, &json!({}))).unwrap_err();
    assert_eq!(error.code, ResultCode::NotFound);
}
