//! The carrier socket: answers of agents on their way to callers, and membership messages.

use crate::{listeners::Listeners, shared::Shared};
use basilstep_core::{
    codes::ResultCode,
    wire::{CarrierHeader, Leg, MEMBERSHIP_VERSION, decode_frame},
};
use std::{
    net::{SocketAddr, SocketAddrV4},
    sync::{Arc, atomic::Ordering},
};
use tokio::{net::UdpSocket, sync::mpsc};

const DATAGRAM_BYTES: usize = 2_048;
const BATCH: usize = 64;

/// A membership datagram with its sender.
#[derive(Clone, Debug)]
pub struct MembershipDatagram {
    /// Who sent it.
    pub from: SocketAddrV4,
    /// What it holds.
    pub bytes: Vec<u8>,
}

/// Carries answers until the process ends; hands membership messages to `membership`.
pub async fn carry_answers(
    shared: Arc<Shared>,
    socket: Arc<UdpSocket>,
    listeners: Arc<Listeners>,
    membership: mpsc::Sender<MembershipDatagram>,
) {
    let mut buffer = [0; DATAGRAM_BYTES];
    loop {
        if socket.readable().await.is_err() {
            continue;
        }
        for _ in 0..BATCH {
            let Ok((length, from)) = socket.try_recv_from(&mut buffer) else {
                break;
            };
            let datagram = &buffer[..length];
            if datagram.first() == Some(&MEMBERSHIP_VERSION) {
                hand_over(&shared, &membership, from, datagram);
            } else {
                carry_answer(&shared, &listeners, datagram);
            }
        }
    }
}

fn carry_answer(shared: &Shared, listeners: &Listeners, frame: &[u8]) {
    let (header, payload) = match decode_frame::<CarrierHeader>(&shared.keys.carrier, frame) {
        Ok(decoded) => decoded,
        Err(error) => return shared.counters.increment(error.code()),
    };
    if !matches!(header.leg, Leg::Answer { .. }) {
        return shared.counters.increment(ResultCode::Malformed);
    }
    shared.note_settings_version(header.settings_version);
    let Some(socket) = listeners.socket_of(header.service) else {
        return shared.counters.increment(ResultCode::UnknownService);
    };
    // A datagram that the socket does not take now is lost; QUIC repairs that.
    if socket.try_send_to(payload, header.caller).is_ok() {
        shared.answered.fetch_add(1, Ordering::Relaxed);
    }
}

fn hand_over(
    shared: &Shared,
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
    // A full queue drops the message: membership repeats what matters.
    let _ = membership.try_send(datagram);
}
