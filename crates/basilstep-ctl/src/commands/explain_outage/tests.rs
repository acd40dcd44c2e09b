use super::{LogLine, table};
use basilstep_core::codes::ResultCode;
use serde_json::{Value, json};

fn packet(at_ms: u64, code: &str, left_out: u64, extra: &Value) -> LogLine {
    let mut fields = json!({
        "timestamp": at_ms, "message": "packet", "code": code, "left_out": left_out, "version": 3,
    });
    for (name, value) in extra.as_object().unwrap() {
        fields[name] = value.clone();
    }
    LogLine::parse("b1", &fields.to_string()).unwrap()
}

#[test]
fn packets_are_summed_by_window_and_cause_with_those_left_out() {
    let lines = [
        packet(1_010, "407 NoTarget", 0, &json!({})),
        packet(1_020, "0 Done", 900, &json!({})),
        packet(1_900, "101 Overloaded", 9, &json!({})),
        packet(2_100, "101 Overloaded", 4, &json!({})),
        packet(2_200, "406 UnknownService", 0, &json!({"version": 0})),
    ];
    let report = table(&lines, 1_000).unwrap();
    assert_eq!(
        report.lines,
        [
            "1000 10 all targets full, 1 no agent known or left to ask",
            "2000 5 all targets full, 1 no configuration read yet",
            "total 15 all targets full, 1 no configuration read yet, 1 no agent known or left to ask",
        ]
    );
}

/// Guards against counting a SYN once for each agent that refuses it.
#[test]
fn refusals_of_agents_are_not_counted() {
    let by_agent = packet(1_000, "101 Overloaded", 0, &json!({"phase": "Serving"}));
    let error = table(&[by_agent], 1_000).unwrap_err();
    assert_eq!(error.code, ResultCode::NotFound);
}
