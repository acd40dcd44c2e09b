//! Flows that transfer much data: packets of their callers belong to them wherever their sequence
//! numbers are, and those of another flow with the same key do not.

use super::{
    accepted, agent_ip, balancer_ip, balancer_with, context, data, flow, forward_header,
    from_target, held, new_agent, serving_agent, syn,
};
use crate::{
    codes::ResultCode,
    flows::{
        AgentFlows, RequestKind, Returned, Segment,
        agent::{CallerVerdict, TargetVerdict},
        balancer::Verdict,
    },
};
use rstest::rstest;

/// What either end has in flight at most: 16 packets.
const IN_FLIGHT_BYTES: u32 = 16 * 1_200;

const OPENED_MS: u64 = 5_000;

/// The time in which either end sends [`IN_FLIGHT_BYTES`].
const ROUND_TRIP_MS: u64 = 10;

/// How late a packet may arrive: the retransmissions of an end take 11 s.
const LATE_MS: u64 = 11_000;

/// The longest time between two retransmissions of a caller.
const CALLER_PAUSE_MS: u64 = 1_600;

/// A flow whose ends have sent some data.
struct Stream {
    agent: AgentFlows,
    now_ms: u64,
    target_sequence: u32,
    caller_sequence: u32,
    /// Acknowledgement numbers of earlier packets of the caller, the last ones last.
    sent_earlier: Vec<(u64, u32)>,
}

impl Stream {
    /// Opens a flow whose ends begin at the given sequence numbers.
    fn open(target_sequence: u32, caller_sequence: u32) -> Self {
        let (mut agent, ctx) = serving_agent();
        let header = forward_header(balancer_ip(1));
        let opening = Segment {
            sequence: caller_sequence,
            ..syn(flow(1), 0)
        };
        agent.on_packet(&header, &opening, &ctx);
        let answer = Segment {
            sequence: target_sequence,
            ..accepted(flow(1))
        };
        agent.on_target_packet(&answer, &ctx);
        Self {
            agent,
            now_ms: OPENED_MS,
            target_sequence: target_sequence.wrapping_add(1),
            caller_sequence: caller_sequence.wrapping_add(1),
            sent_earlier: Vec::new(),
        }
    }

    /// Replaces the agent by one that has just started beside the target, which says nothing yet.
    fn restart_agent(&mut self) {
        self.agent = new_agent();
    }

    /// A packet of the caller that acknowledges what the target has sent.
    fn caller_packet(&self, acknowledged: u32) -> Segment {
        Segment {
            sequence: self.caller_sequence,
            acknowledged,
            ..data(flow(1), 100)
        }
    }

    fn deliver(&mut self, acknowledged: u32) -> CallerVerdict {
        let packet = self.caller_packet(acknowledged);
        let header = forward_header(balancer_ip(1));
        self.agent
            .on_packet(&header, &packet, &context(self.now_ms))
    }

    fn assert_delivered(&mut self, acknowledged: u32, what: &str) {
        let verdict = self.deliver(acknowledged);
        let is_delivered = matches!(verdict, CallerVerdict::Deliver { .. });
        let (now_ms, sequence) = (self.now_ms, self.target_sequence);
        assert!(
            is_delivered,
            "{what} at {now_ms} ms: {acknowledged} of {sequence}, {verdict:?}"
        );
    }

    /// The target sends an answer and the caller acknowledges it with its next request.
    fn exchange(&mut self, answer_bytes: u32) {
        self.now_ms += ROUND_TRIP_MS;
        for _ in 0..answer_bytes.div_ceil(1_200) {
            let packet = Segment {
                sequence: self.target_sequence,
                ..from_target(data(flow(1), 1_200))
            };
            let verdict = self.agent.on_target_packet(&packet, &context(self.now_ms));
            assert!(matches!(verdict, TargetVerdict::ToCaller { .. }));
            self.target_sequence = self.target_sequence.wrapping_add(1_200);
        }
        self.assert_delivered(self.target_sequence, "a request");
        self.sent_earlier.push((self.now_ms, self.target_sequence));
        self.caller_sequence = self.caller_sequence.wrapping_add(100);
    }

    /// A packet that the network has delayed, or that its caller has repeated, arrives.
    fn repeat_late(&mut self) {
        let since_ms = self.now_ms.saturating_sub(LATE_MS);
        let late = self
            .sent_earlier
            .partition_point(|(at_ms, _)| *at_ms < since_ms);
        if let Some((_, acknowledged)) = self.sent_earlier.get(late).copied() {
            self.assert_delivered(acknowledged, "a late packet");
        }
    }

    /// A packet of a flow that the caller has opened at another target arrives.
    ///
    /// The agent refuses it only after the caller has not used this flow for a while.
    fn assert_other_flow_is_returned(&mut self, distance: u32) {
        let acknowledged = self.target_sequence.wrapping_add(distance);
        for (pause_ms, code) in [
            (0, ResultCode::FlowSearched),
            (CALLER_PAUSE_MS, ResultCode::FlowNotHeld),
        ] {
            self.now_ms += pause_ms;
            let verdict = self.deliver(acknowledged);
            assert_eq!(verdict, CallerVerdict::Return { code }, "{distance} ahead");
        }
    }
}

/// Guards against the reset of a flow that has transferred more data than some fixed number of bytes
/// (review/6), or whose sequence numbers wrap around.
#[rstest]
#[case::download_of_20_mb(500, 1_000, IN_FLIGHT_BYTES, 20 << 20)]
#[case::download_that_wraps_early(u32::MAX - 1_000, 1_000, IN_FLIGHT_BYTES, 20 << 20)]
#[case::download_that_wraps_within_the_first_answer(u32::MAX, 1_000, IN_FLIGHT_BYTES, 20 << 20)]
#[case::download_of_all_sequence_numbers(500, 1_000, IN_FLIGHT_BYTES, 5 << 30)]
#[case::upload_that_wraps(500, u32::MAX - 10_000, 0, 100_000)]
fn packet_of_a_long_flow_is_delivered(
    #[case] target_sequence: u32,
    #[case] caller_sequence: u32,
    #[case] answer_bytes: u32,
    #[case] total_bytes: u64,
) {
    let mut stream = Stream::open(target_sequence, caller_sequence);
    let exchanges = total_bytes / u64::from(answer_bytes.max(100));
    for number in 0..exchanges {
        stream.exchange(answer_bytes);
        if number % 50 == 0 {
            stream.repeat_late();
        }
    }
}

/// Guards against a check that fails for long flows because it accepts any packet: one of another
/// flow with the same key still goes to the target that holds that flow.
#[rstest]
#[case::just_ahead(1 << 17)]
#[case::ahead(1 << 25)]
#[case::far_ahead(1 << 30)]
#[case::opposite(1 << 31)]
#[case::far_behind(3 << 30)]
fn packet_of_another_flow_is_returned_however_much_was_transferred(#[case] distance: u32) {
    let mut stream = Stream::open(500, 1_000);
    for _ in 0..20 {
        for _ in 0..200 {
            stream.exchange(IN_FLIGHT_BYTES);
        }
        stream.assert_other_flow_is_returned(distance);
        stream.exchange(IN_FLIGHT_BYTES);
    }
}

/// Guards against the reset of a flow whose agent has started in the middle of it: what the flow
/// transferred before is not known, and its first packet at the new agent may be a late one.
#[rstest]
#[case::first_packet_in_time(0)]
#[case::first_packet_late(LATE_MS)]
fn packet_of_a_flow_with_a_restarted_agent_is_delivered(
    #[case] first_packet_age_ms: u64,
    #[values(500, u32::MAX - (30 << 20))] target_sequence: u32,
    #[values(1, 1_800)] exchanges_before: u32,
) {
    let mut stream = Stream::open(target_sequence, 1_000);
    for _ in 0..exchanges_before {
        stream.exchange(IN_FLIGHT_BYTES);
    }
    stream.restart_agent();
    let sent_ms = stream.now_ms - first_packet_age_ms.min(stream.now_ms - OPENED_MS);
    let (_, first) = stream.sent_earlier[stream
        .sent_earlier
        .partition_point(|(at_ms, _)| *at_ms < sent_ms)];
    stream.assert_delivered(first, "the first packet");
    stream.assert_delivered(stream.target_sequence, "the second packet");
    for number in 0..3_000 {
        stream.exchange(IN_FLIGHT_BYTES);
        if number % 50 == 0 {
            stream.repeat_late();
        }
    }
    stream.assert_other_flow_is_returned(1 << 30);
    stream.exchange(IN_FLIGHT_BYTES);
    stream.assert_other_flow_is_returned(3 << 30);
}

/// Guards against a reset while an agent that says nothing certain may hold the flow: one that has
/// just carried the packets of an open flow with this key does not refuse a packet that does not fit.
#[rstest]
#[case::idempotent(RequestKind::Idempotent)]
#[case::not_idempotent(RequestKind::NonIdempotent)]
fn flow_in_use_is_no_refusal(#[case] kind: RequestKind) {
    let (mut balancer, ctx) = balancer_with(2, kind);
    balancer.on_held_flows(agent_ip(1), &held(0, flow(1)), &ctx);
    let stray = data(flow(1), 10);
    let returned = |code| Returned {
        code,
        service: super::service(),
    };
    let in_use = returned(ResultCode::FlowSearched);
    let not_held = returned(ResultCode::FlowNotHeld);
    balancer.on_returned(agent_ip(1), in_use, &stray, &ctx);
    let verdict = balancer.on_returned(agent_ip(2), not_held, &stray, &ctx);
    assert!(!matches!(verdict, Verdict::Reset { .. }), "{verdict:?}");
    assert!(balancer.on_tick(&context(ctx.now_ms + 100)).lost.is_empty());
    let verdict = balancer.on_returned(agent_ip(1), not_held, &stray, &ctx);
    assert!(matches!(verdict, Verdict::Reset { .. }), "{verdict:?}");
}

/// Guards against a reset of the flow's caller that carries the number of a late packet, which the
/// caller would ignore.
#[test]
fn reset_of_a_long_flow_carries_its_last_acknowledgement() {
    let mut stream = Stream::open(500, 1_000);
    for _ in 0..1_000 {
        stream.exchange(IN_FLIGHT_BYTES);
    }
    stream.repeat_late();
    let lost = stream.agent.on_target_ended(&context(stream.now_ms));
    let sequences: Vec<u32> = lost.iter().map(|lost| lost.sequence).collect();
    assert_eq!(sequences, [stream.target_sequence]);
}
