//! The socket for frames to and from other processes of the fleet.

use crate::{datagram_socket::DatagramSocket, process::ProcessError};
use basilstep_core::flows::{
    Frame,
    wire::{PeerVersions, ReceivedFrame, WireError, WireVersion, decode_frame, encode_frame},
};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Sends and receives frames, to each peer in a version that it reads.
#[derive(Debug)]
pub struct FrameChannel {
    socket: DatagramSocket,
    /// The port of all peers.
    port: u16,
    versions: PeerVersions,
    buffer: Vec<u8>,
}

impl FrameChannel {
    /// Binds the socket; versions up to `highest` are spoken.
    ///
    /// # Errors
    ///
    /// Returns [`ProcessError::Bind`] if the address cannot be bound.
    pub async fn bind(address: SocketAddrV4, highest: WireVersion) -> Result<Self, ProcessError> {
        Ok(Self {
            socket: DatagramSocket::bind("the internal port", address).await?,
            port: address.port(),
            versions: PeerVersions::new(highest),
            buffer: Vec::new(),
        })
    }

    /// Returns the socket.
    pub const fn socket(&self) -> &DatagramSocket {
        &self.socket
    }

    /// Returns the versions of the peers.
    pub const fn versions(&self) -> &PeerVersions {
        &self.versions
    }

    /// Sends a frame followed by `packet`, which is empty for frames that carry none.
    pub fn send(&mut self, peer: Ipv4Addr, frame: &Frame, packet: &[u8]) {
        let address = SocketAddrV4::new(peer, self.port);
        for spoken in self.versions.spoken_to(peer) {
            encode_frame(frame, packet, spoken, &mut self.buffer);
            self.socket.send(&self.buffer, address);
        }
    }

    /// Decodes a datagram of a peer and records the versions of the peers that it shows.
    ///
    /// Returns `None` for a copy for older builds, whose sender does not know the version of this
    /// process and is told.
    ///
    /// # Errors
    ///
    /// Returns [`WireError`] if the datagram is no frame, or one of another version.
    pub fn decode<'a>(
        &mut self,
        peer: Ipv4Addr,
        datagram: &'a [u8],
        now_ms: u64,
    ) -> Result<Option<ReceivedFrame<'a>>, WireError> {
        let highest = self.versions.highest();
        let received = decode_frame(datagram, highest)?;
        match &received.frame {
            Frame::Heartbeat(heartbeat) => {
                self.versions.on_incarnation(peer, heartbeat.incarnation);
            }
            Frame::Balancers(entries) => {
                for entry in entries.iter().filter(|entry| entry.ip != peer) {
                    self.versions.on_incarnation(entry.ip, entry.incarnation);
                }
            }
            _ => {}
        }
        let change = self.versions.on_frame(peer, &received, now_ms);
        if let Some(change) = change
            && (change.before.is_some() || change.after < highest)
        {
            log::info!(
                peer:% = peer,
                version:% = change.after,
                before = change.before.map(u8::from);
                "the version to speak to a peer changed"
            );
        }
        if received.is_copy_for_older_builds(highest) {
            // The sender may take this process for the older build that it has replaced, and send no
            // other copy until it is told. An answer is not answered.
            if received.frame != announcement() {
                self.send(peer, &announcement(), &[]);
            }
            return Ok(None);
        }
        Ok(Some(received))
    }

    /// Forgets peers that have sent nothing for long.
    pub fn on_tick(&mut self, now_ms: u64) {
        self.versions.on_tick(now_ms);
    }
}

/// Returns a frame that has no effect but to show the version of its sender.
const fn announcement() -> Frame {
    Frame::Balancers(Vec::new())
}
