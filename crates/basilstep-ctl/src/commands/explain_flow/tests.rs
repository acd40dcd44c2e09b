use super::{LogLine, build_timeline};
use basilstep_core::codes::ResultCode;
use serde_json::{Value, json};

const FLOW: &str = "100.64.0.7:40001>198.18.0.1:443";

fn line(process: &str, at_ms: u64, message: &str, mut fields: Value) -> LogLine {
    fields["timestamp"] = json!(at_ms);
    fields["message"] = json!(message);
    LogLine::parse(process, &fields.to_string()).unwrap()
}

#[test]
fn timeline_has_the_lines_of_the_flow_in_order_with_the_meaning_of_codes() {
    let lines = vec![
        line(
            "b1",
            9_000,
            "packet",
            json!({"flow": FLOW, "code": "413 FlowLost"}),
        ),
        line(
            "a1",
            1_000,
            "packet",
            json!({"flow": FLOW, "code": "0 Done", "at_work": 3}),
        ),
        line(
            "b1",
            5_000,
            "packet",
            json!({"flow": "another", "code": "0 Done"}),
        ),
    ];
    let timeline = build_timeline(FLOW, lines).unwrap().lines;
    assert_eq!(timeline.len(), 3);
    assert!(
        timeline[0].starts_with("1000 a1: packet"),
        "{}",
        timeline[0]
    );
    assert!(timeline[0].contains("at_work=3"));
    assert!(timeline[1].contains("the lifetime of the target that held it has ended"));
    assert_eq!(timeline[2], "cause: flow lost with its target");
}

#[test]
fn timeline_includes_state_messages_of_the_processes_near_the_flow() {
    let lines = vec![
        line(
            "a1",
            1_000,
            "packet",
            json!({"flow": FLOW, "code": "0 Done"}),
        ),
        line(
            "a1",
            2_500,
            "the target changed",
            json!({"outcome": "NewLifetime"}),
        ),
        line("a1", 90_000, "the target changed", json!({})),
        line("a2", 1_500, "the target changed", json!({})),
        line("a1", 1_600, "a client left before its answer", json!({})),
    ];
    let timeline = build_timeline(FLOW, lines).unwrap().lines;
    assert_eq!(timeline.len(), 2);
    assert!(timeline[1].contains("NewLifetime"));
}

#[test]
fn flow_without_lines_is_not_found() {
    let error = build_timeline(FLOW, Vec::new()).unwrap_err();
    assert_eq!(error.code, ResultCode::NotFound);
}

#[test]
fn lines_that_are_not_json_are_skipped() {
    assert!(LogLine::parse("a1", "thread 'main' panicked").is_none());
    assert!(LogLine::parse("a1", "{\"message\":\"no time\"}").is_none());
}
