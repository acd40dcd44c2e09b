//! Fleets whose processes speak different versions, and settings that pass between them.

use super::{agent_ip, fleet_settings};
use crate::flows::{
    FleetSettings, Frame, ProcessIncarnation, RequestKind,
    wire::{
        PeerVersions, SpokenVersion, WireError, WireVersion, decode_frame, decode_settings,
        encode_frame, encode_settings,
    },
};
use rstest::rstest;
use std::net::Ipv4Addr;

const SETTINGS_4: &str =
    "0101c6120001bb03006401dd924519814a0101dd924519814a000000000000000000000000000001";
const SETTINGS_6: &str =
    "0101c6120001bb030064000001dd924519814a0101dd924519814a000000000000000000000000000001";
const SETTINGS_5: &str =
    "0101c6120001bb0300640001dd924519814a0101dd924519814a000000000000000000000000000001";

fn version(number: u8) -> WireVersion {
    WireVersion::try_from(number).unwrap()
}

fn from_hex(hex: &str) -> Vec<u8> {
    (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).unwrap())
        .collect()
}

/// A process that sends frames to another one.
struct Process {
    ip: Ipv4Addr,
    /// An older build neither announces versions nor speaks more than one.
    build: Build,
    versions: PeerVersions,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Build {
    Only(u8),
    UpTo(u8),
}

impl Process {
    fn new(number: u8, build: Build) -> Self {
        let (Build::Only(highest) | Build::UpTo(highest)) = build;
        Self {
            ip: agent_ip(number),
            build,
            versions: PeerVersions::new(version(highest)),
        }
    }

    fn send(&self, to: Ipv4Addr, frame: &Frame) -> Vec<Vec<u8>> {
        let encode = |spoken| {
            let mut bytes = Vec::new();
            encode_frame(frame, b"", spoken, &mut bytes);
            bytes
        };
        if let Build::Only(only) = self.build {
            let spoken = SpokenVersion {
                version: version(only),
                highest: version(only),
            };
            let mut bytes = encode(spoken);
            bytes.pop();
            return vec![bytes];
        }
        self.versions.spoken_to(to).map(encode).collect()
    }

    /// Returns how many of the datagrams are read.
    fn receive(&mut self, from: Ipv4Addr, datagrams: &[Vec<u8>]) -> usize {
        let mut read = 0;
        for datagram in datagrams {
            if matches!(self.build, Build::Only(only) if datagram[0] != only) {
                continue;
            }
            let Ok(received) = decode_frame(datagram, self.versions.highest()) else {
                continue;
            };
            self.versions.on_frame(from, &received, 0);
            read += 1;
        }
        read
    }
}

fn exchange(one: &mut Process, two: &mut Process) -> [usize; 2] {
    let there = two.receive(one.ip, &one.send(two.ip, &Frame::Probe));
    let back = one.receive(two.ip, &two.send(one.ip, &Frame::Probe));
    [there, back]
}

/// Two processes that meet, and then one of them is replaced: each frame is read, and after one
/// exchange it is sent once, in the highest common version.
#[rstest]
#[case::same_build(Build::UpTo(6), 6)]
#[case::pinned(Build::UpTo(5), 5)]
#[case::build_of_version_4(Build::Only(4), 4)]
#[case::build_of_version_5(Build::Only(5), 5)]
fn processes_agree_on_the_highest_common_version(
    #[case] peer: Build,
    #[case] common: u8,
    #[values(Build::Only(4), Build::Only(5), Build::UpTo(6))] replacement: Build,
) {
    let mut own = Process::new(1, Build::UpTo(6));
    let mut other = Process::new(2, peer);
    assert_ne!(
        exchange(&mut own, &mut other)[0],
        0,
        "the first frame is read"
    );
    assert_eq!(exchange(&mut own, &mut other), [1, 1]);
    assert_eq!(own.versions.version_of(other.ip), Some(version(common)));

    let mut other = Process::new(2, replacement);
    own.versions.on_incarnation(other.ip, ProcessIncarnation(2));
    assert_ne!(
        exchange(&mut own, &mut other)[0],
        0,
        "the replacement is heard"
    );
    assert_eq!(exchange(&mut own, &mut other), [1, 1]);
}

/// Guards against frames that take effect once for each version in which they were sent.
#[rstest]
#[case::for_older_builds(5, 6, true)]
#[case::highest_of_both(5, 5, false)]
#[case::sender_of_a_newer_build(6, 9, false)]
fn only_the_copy_in_the_highest_common_version_takes_effect(
    #[case] number: u8,
    #[case] announced: u8,
    #[case] is_copy: bool,
) {
    let spoken = SpokenVersion {
        version: version(number),
        highest: WireVersion::LATEST,
    };
    let mut bytes = Vec::new();
    encode_frame(&Frame::Probe, &[], spoken, &mut bytes);
    *bytes.last_mut().unwrap() = announced;
    let received = decode_frame(&bytes, WireVersion::LATEST).unwrap();
    assert_eq!(
        received.is_copy_for_older_builds(WireVersion::LATEST),
        is_copy
    );
}

/// A packet of an older version says nothing about what else its sender speaks.
#[test]
fn frame_with_a_packet_does_not_lower_the_version() {
    let mut own = Process::new(1, Build::UpTo(6));
    let mut other = Process::new(2, Build::UpTo(6));
    exchange(&mut own, &mut other);
    let returned = super::forward_header(other.ip);
    let spoken = SpokenVersion {
        version: version(4),
        highest: version(6),
    };
    let mut bytes = Vec::new();
    encode_frame(&Frame::Forward(returned), b"packet", spoken, &mut bytes);
    own.receive(other.ip, &[bytes]);
    assert_eq!(own.versions.version_of(other.ip), Some(version(6)));
}

/// The settings of each version, recorded from the build that introduced it.
#[rstest]
#[case::version_4(4, SETTINGS_4)]
#[case::version_5(5, SETTINGS_5)]
#[case::version_6(6, SETTINGS_6)]
fn layout_of_settings_never_changes(#[case] number: u8, #[case] recorded: &str) {
    let mut settings = fleet_settings(RequestKind::Idempotent);
    settings.table.idle_timeout_ms = 0;
    let recorded = from_hex(recorded);
    assert_eq!(encode_settings(&settings, version(number)), recorded);
    let mut decoded = decode_settings(&recorded, version(number)).unwrap();
    assert_eq!(
        decoded.table.wire_version,
        version(number).min(WireVersion::LATEST)
    );
    decoded.table.wire_version = WireVersion::LATEST;
    assert_eq!(decoded, settings);
}

/// Guards against settings of one version that are read as valid ones of another.
#[rstest]
#[case::older_as_newer(SETTINGS_4, 5)]
#[case::newer_as_older(SETTINGS_5, 4)]
#[case::former_as_latest(SETTINGS_5, 6)]
#[case::latest_as_former(SETTINGS_6, 5)]
fn settings_of_another_version_are_refused(#[case] recorded: &str, #[case] number: u8) {
    let decoded = decode_settings(&from_hex(recorded), version(number));
    assert_eq!(decoded, Err(WireError::Malformed));
}

/// A balancer that got its routes from an older build takes the priorities from the next complete
/// ones of the same version, and does not lose them to an older build.
#[test]
fn priorities_that_an_older_build_cannot_say_are_filled_in() {
    let complete = {
        let mut settings = fleet_settings(RequestKind::Idempotent);
        let routes = settings.table.routes.values_mut();
        routes.for_each(|route| route.priority = 2);
        settings
    };
    let bytes = encode_settings(&complete, version(4));
    let partial = decode_settings(&bytes, version(4)).unwrap();
    let mut known = FleetSettings::default();
    assert!(known.merge_newer(partial.clone()));
    assert_eq!(known.table.wire_version, version(4));
    assert!(known.merge_newer(complete.clone()));
    assert!(!known.merge_newer(partial));
    assert_eq!(known, complete);
}
