use super::{flow, forward_header, report};
use crate::{
    codes::ResultCode,
    flows::{
        Frame, FrameError, HeldFlows, Returned, ServiceTag, TargetPhase, decode_frame,
        encode_frame, frame::FRAME_VERSION,
    },
};
use proptest::prelude::*;
use rstest::rstest;
use std::net::Ipv4Addr;

#[rstest]
#[case::forward(Frame::Forward(forward_header(Ipv4Addr::new(10, 9, 0, 1))))]
#[case::returned(Frame::Returned(Returned { code: ResultCode::FlowNotHeld, service: ServiceTag::of("a") }))]
#[case::held(Frame::Held(HeldFlows { advertised_before: 7, flows: vec![flow(1), flow(2)] }))]
#[case::report(Frame::Report(report(TargetPhase::Draining)))]
#[case::list(Frame::ListBalancers)]
fn frame_and_packet_round_trip(#[case] frame: Frame) {
    let mut bytes = vec![9; 3];
    encode_frame(&frame, b"packet", &mut bytes);
    assert_eq!(decode_frame(&bytes), Ok((frame, &b"packet"[..])));
}

#[rstest]
#[case::empty(&[], FrameError::Version)]
#[case::other_version(&[FRAME_VERSION - 1, 6], FrameError::Version)]
#[case::no_header(&[FRAME_VERSION], FrameError::Header)]
#[case::unknown_kind(&[FRAME_VERSION, 99], FrameError::Header)]
#[case::cut_short(&[FRAME_VERSION, 0, 1, 2], FrameError::Header)]
fn datagram_that_is_no_frame_is_refused(#[case] bytes: &[u8], #[case] error: FrameError) {
    assert_eq!(decode_frame(bytes), Err(error));
}

proptest! {
    #[test]
    fn no_datagram_makes_the_decoder_panic(bytes in proptest::collection::vec(any::<u8>(), 0..2_000)) {
        let _ = decode_frame(&bytes);
    }

    #[test]
    fn length_in_a_frame_does_not_reserve_memory(length in any::<u32>()) {
        let mut bytes = vec![FRAME_VERSION, 2];
        bytes.extend_from_slice(&length.to_le_bytes());
        let _ = decode_frame(&bytes);
    }
}
