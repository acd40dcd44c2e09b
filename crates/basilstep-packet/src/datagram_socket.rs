//! UDP sockets that are read and written without waiting.

use crate::process::ProcessError;
use std::{
    io::{self, ErrorKind},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
};
use tokio::net::UdpSocket;

/// Room for the largest datagram: a packet of 1,232 bytes behind a frame header, or a list.
pub const MAX_DATAGRAM_BYTES: usize = 16 * 1_024;

/// The most datagrams read at once before timers and other sockets have their turn.
pub const RECEIVE_BATCH: usize = 64;

/// What became of a datagram that was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendOutcome {
    /// The operating system took it.
    Sent,
    /// The queue is full; it is dropped like one lost on the way.
    Dropped,
    /// Nobody listens at the peer's address on this machine.
    Refused,
}

/// A bound UDP socket.
#[derive(Debug)]
pub struct DatagramSocket {
    socket: UdpSocket,
}

impl DatagramSocket {
    /// Binds `address`.
    ///
    /// # Errors
    ///
    /// Returns [`ProcessError::Bind`] with what the operating system says.
    pub async fn bind(what: &'static str, address: SocketAddrV4) -> Result<Self, ProcessError> {
        let socket = UdpSocket::bind(address)
            .await
            .map_err(|source| ProcessError::Bind { what, source })?;
        Ok(Self { socket })
    }

    /// Waits until there is something to read.
    pub async fn readable(&self) {
        if let Err(error) = self.socket.readable().await {
            log::error!(reason:% = error; "a socket cannot be waited for");
        }
    }

    /// Reads one datagram, if there is one.
    pub fn try_receive(&self, buffer: &mut [u8]) -> Option<(usize, Ipv4Addr)> {
        match self.socket.try_recv_from(buffer) {
            Ok((bytes, SocketAddr::V4(peer))) => Some((bytes, *peer.ip())),
            Ok((_, SocketAddr::V6(_))) => None,
            Err(error) if error.kind() == ErrorKind::WouldBlock => None,
            Err(error) => {
                log::debug!(reason:% = error; "a datagram could not be read");
                None
            }
        }
    }

    /// Sends one datagram.
    pub fn send(&self, bytes: &[u8], peer: SocketAddrV4) -> SendOutcome {
        match self.socket.try_send_to(bytes, SocketAddr::V4(peer)) {
            Ok(_) => SendOutcome::Sent,
            Err(error) => outcome_of_error(&error),
        }
    }
}

/// A UDP socket that exchanges datagrams with one peer, and hears when nobody listens there.
#[derive(Debug)]
pub struct ConnectedDatagramSocket {
    socket: UdpSocket,
}

impl ConnectedDatagramSocket {
    /// Binds a free port of `local` for datagrams to `peer`.
    ///
    /// # Errors
    ///
    /// Returns [`ProcessError::Bind`] with what the operating system says.
    pub async fn connect(local: Ipv4Addr, peer: SocketAddrV4) -> Result<Self, ProcessError> {
        let what = "the socket towards the target";
        let bind = async {
            let socket = UdpSocket::bind(SocketAddrV4::new(local, 0)).await?;
            socket.connect(peer).await?;
            Ok::<_, io::Error>(socket)
        };
        let socket = bind
            .await
            .map_err(|source| ProcessError::Bind { what, source })?;
        Ok(Self { socket })
    }

    /// Sends one datagram.
    pub fn send(&self, bytes: &[u8]) -> SendOutcome {
        match self.socket.try_send(bytes) {
            Ok(_) => SendOutcome::Sent,
            Err(error) => outcome_of_error(&error),
        }
    }
}

fn outcome_of_error(error: &io::Error) -> SendOutcome {
    match error.kind() {
        ErrorKind::ConnectionRefused => SendOutcome::Refused,
        ErrorKind::WouldBlock => SendOutcome::Dropped,
        _ => {
            log::debug!(reason:% = error; "a datagram could not be sent");
            SendOutcome::Dropped
        }
    }
}
