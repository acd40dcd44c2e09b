//! Receives on the carrier socket: forwards agents' packets to callers and passes on membership
//! datagrams.

use crate::{listeners::Listeners, shared_state::SharedState};
use basilstep_core::{
    codes::ResultCode,
    wire::{CarrierHeader, CarrierPurpose, MEMBERSHIP_VERSION, decode_frame},
};
use std::{
    net::{SocketAddr, SocketAddrV4},
    sync::{Arc, atomic::Ordering},
};
use tokio::{net::UdpSocket, sync::mpsc};

const MAX_DATAGRAM_BYTES: usize = 2_048;
const MAX_DATAGRAMS_PER_BATCH: usize = 64;

/// A membership datagram and its sender.
#[derive(Clone, Debug)]
pub struct MembershipDatagram {
    /// The sender.
    pub from: SocketAddrV4,
    /// The authenticated message, not yet decoded.
    pub bytes: Vec<u8>,
}

/// Forwards agents' packets to callers until the process ends; sends membership datagrams to
/// `membership`.
pub async fn forward_to_callers(
    shared: Arc<SharedState>,
    socket: Arc<UdpSocket>,
    listeners: Arc<Listeners>,
    membership: mpsc::Sender<MembershipDatagram>,
) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        if socket.readable().await.is_err() {
            continue;
        }
        for _ in 0..MAX_DATAGRAMS_PER_BATCH {
            let Ok((length, from)) = socket.try_recv_from(&mut buffer) else {
                break;
            };
            let datagram = &buffer[..length];
            if datagram.first() == Some(&MEMBERSHIP_VERSION) {
                forward_membership(&shared, &membership, from, datagram);
            } else {
                forward_to_caller(&shared, &listeners, datagram);
            }
        }
    }
}

fn forward_to_caller(shared: &SharedState, listeners: &Listeners, frame: &[u8]) {
    let (header, payload) = match decode_frame::<CarrierHeader>(&shared.keys.carrier, frame) {
        Ok(decoded) => decoded,
        Err(error) => return shared.counters.increment(error.code()),
    };
    if !matches!(header.purpose, CarrierPurpose::Answer { .. }) {
        return shared.counters.increment(ResultCode::Malformed);
    }
    shared.note_settings_version(header.settings_version);
    let Some(socket) = listeners.socket_for(header.service) else {
        return shared.counters.increment(ResultCode::UnknownService);
    };
    // A datagram that the socket cannot take now is dropped; QUIC recovers from packet loss.
    if socket.try_send_to(payload, header.caller).is_ok() {
        shared.packets_to_callers.fetch_add(1, Ordering::Relaxed);
    }
}

fn forward_membership(
    shared: &SharedState,
    membership: &mpsc::Sender<MembershipDatagram>,
    from: SocketAddr,
    bytes: &[u8],
) {
    let SocketAddr::V4(from) = from else {
        return shared.counters.increment(ResultCode::Malformed);
    };
    let datagram = MembershipDatagram {
        from,
        bytes: bytes.to_vec(),
    };
    // A full queue drops the message: membership retransmits what matters.
    let _ = membership.try_send(datagram);
}
