use super::{ReceivedFrame, SpokenVersion, WireVersion};
use crate::flows::key::ProcessIncarnation;
use std::{collections::BTreeMap, net::Ipv4Addr};

/// How long after its last frame a peer's version is remembered.
const FORGET_AFTER_MS: u64 = 60_000;

#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    /// The version to speak to it; `None` until it has shown one.
    version: Option<WireVersion>,
    announced: Option<u8>,
    incarnation: Option<ProcessIncarnation>,
    heard_ms: u64,
}

/// The change of the version in which a peer is spoken to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VersionChange {
    /// The former version; `None` if the peer was unknown.
    pub before: Option<WireVersion>,
    /// The new version.
    pub after: WireVersion,
}

/// Which version each peer is spoken to in.
///
/// A peer is spoken to in the highest version that both sides speak. Until it has shown a version it
/// gets each frame in all of them, because older builds read only their own.
#[derive(Clone, Debug)]
pub struct PeerVersions {
    highest: WireVersion,
    peers: BTreeMap<Ipv4Addr, Peer>,
}

impl PeerVersions {
    /// Creates the versions of a process that speaks up to `highest`.
    pub const fn new(highest: WireVersion) -> Self {
        Self {
            highest,
            peers: BTreeMap::new(),
        }
    }

    /// Returns the highest version that this process speaks.
    pub const fn highest(&self) -> WireVersion {
        self.highest
    }

    /// Records a frame of a peer; returns the change of the version to speak to it.
    ///
    /// Frames with a packet cannot announce a version, so one of a lower version does not show that
    /// the peer has been replaced by an older build.
    pub fn on_frame(
        &mut self,
        ip: Ipv4Addr,
        received: &ReceivedFrame<'_>,
        now_ms: u64,
    ) -> Option<VersionChange> {
        let peer = self.peers.entry(ip).or_default();
        peer.heard_ms = now_ms;
        let before = peer.version;
        let shown = if received.frame.carries_packet() {
            before.map_or(received.version, |before| before.max(received.version))
        } else {
            peer.announced = received.announced;
            received.announced.map_or(received.version, |announced| {
                let common = announced.min(self.highest.0);
                WireVersion::try_from(common).unwrap_or(received.version)
            })
        };
        peer.version = Some(shown);
        (before != Some(shown)).then_some(VersionChange {
            before,
            after: shown,
        })
    }

    /// Records the incarnation of a peer; the version of another incarnation is unknown.
    pub fn on_incarnation(&mut self, ip: Ipv4Addr, incarnation: ProcessIncarnation) {
        let Some(peer) = self.peers.get_mut(&ip) else {
            return;
        };
        // If no incarnation was known, the version may be that of an earlier one.
        if peer.incarnation != Some(incarnation) {
            peer.version = None;
        }
        peer.incarnation = Some(incarnation);
    }

    /// Returns the versions in which a frame is sent to a peer.
    pub fn spoken_to(&self, ip: Ipv4Addr) -> impl Iterator<Item = SpokenVersion> + use<> {
        let highest = self.highest;
        let known = self.version_of(ip);
        highest
            .supported()
            .filter(move |version| known.is_none_or(|known| known == *version))
            .map(move |version| SpokenVersion { version, highest })
    }

    /// Returns the version in which a peer is spoken to, if it has shown one.
    pub fn version_of(&self, ip: Ipv4Addr) -> Option<WireVersion> {
        self.peers.get(&ip).and_then(|peer| peer.version)
    }

    /// Returns whether a peer states the versions of what it sends; older builds do not.
    pub fn states_versions(&self, ip: Ipv4Addr) -> bool {
        self.peers
            .get(&ip)
            .is_some_and(|peer| peer.announced.is_some())
    }

    /// Returns how many known peers speak no version as high as this process.
    pub fn older_peers(&self) -> usize {
        let versions = self.peers.values().filter_map(|peer| peer.version);
        versions.filter(|version| *version < self.highest).count()
    }

    /// Returns the known peers with the versions in which they are spoken to.
    pub fn known(&self) -> BTreeMap<Ipv4Addr, WireVersion> {
        self.peers
            .iter()
            .filter_map(|(ip, peer)| peer.version.map(|version| (*ip, version)))
            .collect()
    }

    /// Forgets peers that have sent nothing for long.
    pub fn on_tick(&mut self, now_ms: u64) {
        self.peers
            .retain(|_, peer| now_ms < peer.heard_ms + FORGET_AFTER_MS);
    }
}
