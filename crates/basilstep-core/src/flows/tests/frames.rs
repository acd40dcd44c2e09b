use super::{flow, forward_header, heartbeat, report};
use crate::{
    address::DomainId,
    codes::ResultCode,
    flows::{
        BalancerEntry, Frame, HeldFlows, ProcessIncarnation, ReportReply, Returned, ServiceLimits,
        ServiceTag, TargetPhase,
        wire::{SpokenVersion, WireError, WireVersion, decode_frame, encode_frame},
    },
};
use proptest::prelude::*;
use rstest::rstest;
use std::net::Ipv4Addr;

const LATEST: u8 = 6;

fn spoken(version: u8) -> SpokenVersion {
    SpokenVersion {
        version: WireVersion::try_from(version).unwrap(),
        highest: WireVersion::LATEST,
    }
}

fn forward() -> Frame {
    Frame::Forward(forward_header(Ipv4Addr::new(10, 9, 0, 1)))
}

fn returned() -> Frame {
    Frame::Returned(Returned {
        code: ResultCode::FlowNotHeld,
        service: ServiceTag::of("a"),
    })
}

fn held() -> Frame {
    Frame::Held(HeldFlows {
        advertised_before: 7,
        flows: vec![flow(1), flow(2)],
    })
}

fn reply() -> Frame {
    Frame::Reply(ReportReply {
        incarnation: ProcessIncarnation(9),
        version: 300,
        revision: super::revision(5),
        is_domain_out: true,
        limits: Some(ServiceLimits {
            max_flows: 2_000,
            warmup_ms: 2_000,
            warmup_per_s: 12.5,
        }),
        balancers_hash: 1,
        former_report_age_ms: Some(400),
    })
}

fn balancers() -> Frame {
    Frame::Balancers(vec![BalancerEntry {
        ip: Ipv4Addr::new(10, 9, 0, 2),
        domain: DomainId(1),
        incarnation: ProcessIncarnation(77),
        age_ms: 250,
    }])
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits = hex.as_bytes().chunks(2);
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
    digits.map(byte).collect()
}

/// What each frame looks like in each version, recorded from the build that introduced it.
///
/// A failure says that a layout has changed: it needs a new version, or older builds misread it.
#[rstest]
#[case::forward_4(4, forward(), "0400dd924519814a0a090001000000")]
#[case::forward_5(5, forward(), "0500dd924519814a0a090001000000000100")]
#[case::returned_4(4, returned(), "04019c0313189bb8d248")]
#[case::returned_5(5, returned(), "05019c0313189bb8d248")]
#[case::held_4(4, held(), "040207026440000701c6120001bb036440000702c6120001bb03")]
#[case::held_5(5, held(), "050207026440000701c6120001bb036440000702c6120001bb03")]
#[case::report_4(
    4,
    Frame::Report(report(TargetPhase::Draining)),
    "040301dd924519814a00020000000004ffff03000001"
)]
#[case::report_5(
    5,
    Frame::Report(report(TargetPhase::Draining)),
    "050301dd924519814a00020000000004ffff03000001000000"
)]
#[case::reply_4(4, reply(), "040409ac0200050101d00fd00f000000000000294001019003")]
#[case::reply_5(5, reply(), "050409ac0200050101d00fd00f000000000000294001019003")]
#[case::heartbeat_4(4, Frame::Heartbeat(heartbeat(3)), "04054d000100010003030000")]
#[case::heartbeat_5(5, Frame::Heartbeat(heartbeat(3)), "05054d000100010003030000")]
#[case::list_4(4, Frame::ListBalancers, "0406")]
#[case::list_5(5, Frame::ListBalancers, "0506")]
#[case::balancers_4(4, balancers(), "0407010a090002014dfa01")]
#[case::balancers_5(5, balancers(), "0507010a090002014dfa01")]
#[case::readvertise_5(5, Frame::Readvertise, "0508")]
#[case::probe_4(4, Frame::Probe, "0409")]
fn layout_of_a_version_never_changes(
    #[case] version: u8,
    #[case] frame: Frame,
    #[case] recorded: &str,
) {
    let recorded = bytes(recorded);
    let mut encoded = vec![9; 3];
    encode_frame(&frame, &[], spoken(version), &mut encoded);
    let announced = matches!(frame, Frame::Forward(_) | Frame::Returned(_));
    let announcement: &[u8] = if announced { &[] } else { &[LATEST] };
    assert_eq!(encoded, [&recorded[..], announcement].concat());
    let received = decode_frame(&recorded, WireVersion::LATEST).unwrap();
    assert_eq!(received.frame, frame);
    assert_eq!(received.announced, None);
}

#[rstest]
#[case::forward(forward())]
#[case::returned(returned())]
fn frame_and_packet_round_trip(#[case] frame: Frame, #[values(4, 5, 6)] version: u8) {
    let mut bytes = vec![9; 3];
    encode_frame(&frame, b"packet", spoken(version), &mut bytes);
    let received = decode_frame(&bytes, WireVersion::LATEST).unwrap();
    assert_eq!((received.frame, received.packet), (frame, &b"packet"[..]));
    assert_eq!(u8::from(received.version), version);
}

#[rstest]
#[case::held(held())]
#[case::report(Frame::Report(report(TargetPhase::Draining)))]
#[case::list(Frame::ListBalancers)]
fn frame_without_a_packet_announces_the_highest_version(
    #[case] frame: Frame,
    #[values(4, 5, 6)] version: u8,
) {
    let mut bytes = Vec::new();
    encode_frame(&frame, &[], spoken(version), &mut bytes);
    let received = decode_frame(&bytes, WireVersion::LATEST).unwrap();
    assert_eq!(received.frame, frame);
    assert_eq!(received.announced, Some(LATEST));
}

#[rstest]
#[case::empty(&[], WireError::NotVersioned)]
#[case::no_version(&[0, 6], WireError::NotVersioned)]
#[case::foreign(&[200, 6], WireError::NotVersioned)]
#[case::older_version(&[3, 6], WireError::UnsupportedVersion { version: 3 })]
#[case::newer_version(&[LATEST + 1, 6], WireError::UnsupportedVersion { version: LATEST + 1 })]
#[case::no_header(&[LATEST], WireError::Malformed)]
#[case::unknown_kind(&[LATEST, 99], WireError::Malformed)]
#[case::unknown_kind_of_an_older_version(&[4, 99], WireError::Malformed)]
#[case::cut_short(&[LATEST, 0, 1, 2], WireError::Malformed)]
fn datagram_that_is_no_frame_is_refused(#[case] bytes: &[u8], #[case] error: WireError) {
    assert_eq!(decode_frame(bytes, WireVersion::LATEST), Err(error));
}

#[test]
fn version_above_the_pinned_one_is_not_read() {
    let mut bytes = Vec::new();
    encode_frame(&Frame::Probe, &[], SpokenVersion::LATEST, &mut bytes);
    let error = WireError::UnsupportedVersion { version: LATEST };
    assert_eq!(decode_frame(&bytes, WireVersion::OLDEST), Err(error));
}

proptest! {
    #[test]
    fn no_datagram_makes_the_decoder_panic(bytes in proptest::collection::vec(any::<u8>(), 0..2_000)) {
        let _ = decode_frame(&bytes, WireVersion::LATEST);
    }

    #[test]
    fn length_in_a_frame_does_not_reserve_memory(length in any::<u32>(), version in 4..=LATEST) {
        let mut bytes = vec![version, 2];
        bytes.extend_from_slice(&length.to_le_bytes());
        let _ = decode_frame(&bytes, WireVersion::LATEST);
    }
}
