//! The text output of an explanation.

use basilstep_core::flows::{
    RequestKind,
    balancer::{Candidate, Explanation, PassedOverReason, PlacementOutcome},
};

/// Returns the outcome, the route, a table of the candidates and the agents that are passed over.
pub(super) fn lines(explanation: &Explanation) -> Vec<String> {
    let mut lines = vec![outcome(explanation), route(explanation)];
    if !explanation.candidates.is_empty() {
        lines.push(format!(
            "{:<15} {:>6} {:>7} {:>7} {:>5} {:>8} {:>8}  notes",
            "candidate", "wait", "at work", "offered", "open", "slowdown", "capacity"
        ));
        lines.extend(explanation.candidates.iter().map(candidate));
    }
    let passed_over = explanation.passed_over.iter();
    lines.extend(passed_over.map(|passed| {
        let reason = reason_text(passed.reason);
        format!("passed over {}: {reason}", passed.agent)
    }));
    if explanation.left_out > 0 {
        lines.push(format!("{} more agents", explanation.left_out));
    }
    lines
}

fn outcome(explanation: &Explanation) -> String {
    match explanation.outcome {
        PlacementOutcome::Hinted { agent } => {
            let is_confirmed = explanation.hint.is_some_and(|hint| hint.is_confirmed);
            let reason = if is_confirmed {
                "it holds the flow"
            } else {
                "an earlier SYN of the flow was sent to it"
            };
            format!("goes to {agent}: {reason}")
        }
        PlacementOutcome::Probe { agent } => {
            format!("goes to {agent}: its target is slow or avoided, and a probe flow is due")
        }
        PlacementOutcome::Chosen { agent } => {
            let reason = match explanation.candidates.len() {
                1 => "the only candidate".to_owned(),
                candidates => format!("the lowest expected wait of {candidates} candidates"),
            };
            format!("goes to {agent}: {reason}")
        }
        PlacementOutcome::Refused { code } => {
            format!("goes to no agent: {code}: {}", code.meaning().trim())
        }
    }
}

fn route(explanation: &Explanation) -> String {
    let requests = match explanation.request_kind {
        RequestKind::Idempotent => "idempotent",
        RequestKind::NonIdempotent => "not idempotent",
    };
    let goal = match explanation.latency_goal_ms {
        0 => "no latency goal".to_owned(),
        goal_ms => format!("latency goal {goal_ms} ms"),
    };
    format!(
        "route of {} in version {}: service {}, {requests}, priority level {} of {} (0 is the highest), {goal}",
        explanation.flow.service_address,
        explanation.version,
        explanation.service,
        explanation.priority_level,
        explanation.priority_levels,
    )
}

fn candidate(candidate: &Candidate) -> String {
    let terms = &candidate.terms;
    let notes: Vec<&str> = [
        (terms.is_cold, "cold"),
        (terms.is_other_domain, "other domain"),
    ]
    .into_iter()
    .filter_map(|(applies, note)| applies.then_some(note))
    .collect();
    let line = format!(
        "{:<15} {:>6.2} {:>7} {:>7} {:>5} {:>8.2} {:>8}  {}",
        candidate.agent.to_string(),
        candidate.expected_wait,
        terms.at_work,
        terms.offered_since,
        terms.open_flows,
        terms.slowdown,
        terms.capacity,
        notes.join(", ")
    );
    line.trim_end().to_owned()
}

const fn reason_text(reason: PassedOverReason) -> &'static str {
    match reason {
        PassedOverReason::Stopping => "the agent is stopping",
        PassedOverReason::Draining => "its target is draining",
        PassedOverReason::TargetNotServing => "its target is not serving",
        PassedOverReason::DomainOut => "its failure domain is out",
        PassedOverReason::DomainHeld => {
            "its failure domain is out by the record of an earlier era of the store"
        }
        PassedOverReason::Silent => "its reports are overdue",
        PassedOverReason::Doubted => "it has not confirmed a flow in time",
        PassedOverReason::NoRoom => "it has no room until its next report",
        PassedOverReason::Refused => "it has refused the flow",
        PassedOverReason::Avoided => "its target fails requests and gets probe flows only",
        PassedOverReason::NotCompared => "not among the agents that are compared for this flow",
    }
}
