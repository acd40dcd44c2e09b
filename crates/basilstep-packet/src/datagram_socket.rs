//! Non-blocking UDP sockets.

#[cfg(test)]
mod tests;

use crate::process::ProcessError;
use std::{
    io::{self, ErrorKind},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
};
use tokio::net::UdpSocket;

/// The size of receive buffers: fits a frame header with a packet of 1,232 bytes, and a list of
/// balancers.
pub const MAX_DATAGRAM_BYTES: usize = 16 * 1_024;

/// The maximum number of datagrams read from a socket before timers and other sockets are served.
pub const RECEIVE_BATCH: usize = 64;

/// The maximum number of batches read from each socket before a process ends: 1,024 datagrams, more
/// than the usual receive buffer holds.
pub const MAX_FINAL_BATCHES: usize = 16;

/// The maximum number of batches read before a decision that depends on what has arrived: as many as
/// at the end, so that a full receive buffer is read.
pub const MAX_WAITING_BATCHES: usize = MAX_FINAL_BATCHES;

/// Reads at most `max_batches` batches with `read_batch`, which returns whether more may be waiting.
pub fn read_waiting(max_batches: usize, mut read_batch: impl FnMut() -> bool) {
    for _ in 0..max_batches {
        if !read_batch() {
            return;
        }
    }
}

/// The outcome of sending a datagram.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendOutcome {
    /// The operating system accepted the datagram.
    Sent,
    /// The send queue is full or sending failed; the datagram is dropped, as if the network had lost
    /// it.
    Dropped,
    /// No socket is bound to the peer's address on this machine.
    Refused,
}

/// A bound UDP socket.
#[derive(Debug)]
pub struct DatagramSocket {
    socket: UdpSocket,
}

impl DatagramSocket {
    /// Binds `address`; `what` names its purpose in errors.
    ///
    /// # Errors
    ///
    /// Returns [`ProcessError::Bind`] with the error of the operating system.
    pub async fn bind(what: &'static str, address: SocketAddrV4) -> Result<Self, ProcessError> {
        let socket = UdpSocket::bind(address)
            .await
            .map_err(|source| ProcessError::Bind { what, source })?;
        Ok(Self { socket })
    }

    /// Waits until the socket is readable.
    pub async fn readable(&self) {
        if let Err(error) = self.socket.readable().await {
            log::error!(reason:% = error; "failed to wait for a socket");
        }
    }

    /// Receives a datagram into `buffer` without waiting; returns its length and sender.
    pub fn try_receive(&self, buffer: &mut [u8]) -> Option<(usize, Ipv4Addr)> {
        match self.socket.try_recv_from(buffer) {
            Ok((bytes, SocketAddr::V4(peer))) => Some((bytes, *peer.ip())),
            Ok((_, SocketAddr::V6(_))) => None,
            Err(error) if error.kind() == ErrorKind::WouldBlock => None,
            Err(error) => {
                log::debug!(reason:% = error; "failed to receive a datagram");
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

/// A UDP socket connected to one peer, which reports when no socket is bound at the peer's address.
#[derive(Debug)]
pub struct ConnectedDatagramSocket {
    socket: UdpSocket,
}

impl ConnectedDatagramSocket {
    /// Binds an ephemeral port of `local` and connects it to `peer`.
    ///
    /// # Errors
    ///
    /// Returns [`ProcessError::Bind`] with the error of the operating system.
    pub async fn connect(local: Ipv4Addr, peer: SocketAddrV4) -> Result<Self, ProcessError> {
        let what = "the socket to the target";
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

    /// Discards the error of an earlier datagram, which would be reported for the next one.
    pub fn clear_error(&self) {
        if let Ok(Some(error)) = self.socket.take_error() {
            log::debug!(reason:% = error; "discarded the error of an earlier datagram");
        }
    }

    /// Returns whether an earlier datagram was refused because no socket is bound at the peer's
    /// address; says so once.
    pub fn take_refusal(&self) -> bool {
        matches!(self.socket.take_error(), Ok(Some(error)) if outcome_of_error(&error) == SendOutcome::Refused)
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
            log::debug!(reason:% = error; "failed to send a datagram");
            SendOutcome::Dropped
        }
    }
}
