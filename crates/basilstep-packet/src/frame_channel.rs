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
    /// # Errors
    ///
    /// Returns [`WireError`] if the datagram is no frame, or one of another version.
    pub fn decode<'a>(
        &mut self,
        peer: Ipv4Addr,
        datagram: &'a [u8],
        now_ms: u64,
    ) -> Result<ReceivedFrame<'a>, WireError> {
        let received = decode_frame(datagram, self.versions.highest())?;
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
            && (change.before.is_some() || change.after < self.versions.highest())
        {
            log::info!(
                peer:% = peer,
                version:% = change.after,
                before = change.before.map(u8::from);
                "the version to speak to a peer changed"
            );
        }
        Ok(received)
    }

    /// Forgets peers that have sent nothing for long.
    pub fn on_tick(&mut self, now_ms: u64) {
        self.versions.on_tick(now_ms);
    }
}
