//! Receives callers' packets on the service sockets and forwards them to agents.

use crate::shared_state::SharedState;
use basilstep_core::{
    address::{AgentAddress, ServiceId},
    codes::ResultCode,
    steering::{SteeringDecision, stateless_reset},
    token::TOKEN_BYTES,
    wire::{CarrierHeader, CarrierPurpose, MAX_FRAME_OVERHEAD_BYTES, encode_frame},
};
use rand_chacha::ChaCha8Rng;
use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
};
use tokio::net::UdpSocket;

const MAX_DATAGRAM_BYTES: usize = 2_048;
const MAX_FRAME_BYTES: usize = MAX_DATAGRAM_BYTES + MAX_FRAME_OVERHEAD_BYTES;
const MAX_DATAGRAMS_PER_BATCH: usize = 64;

/// Forwards the packets of one service socket to agents until the task is aborted.
pub async fn forward_to_agents(
    shared: Arc<SharedState>,
    service: ServiceId,
    callers: Arc<UdpSocket>,
    carrier: Arc<UdpSocket>,
) {
    let mut ingress = IngressForwarder::new(&shared, service, callers, carrier);
    let mut table = shared.watch_steering_table();
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        if ingress.callers.readable().await.is_err() {
            continue;
        }
        let current = Arc::clone(&table.borrow_and_update());
        let may_forward = shared.may_forward();
        for _ in 0..MAX_DATAGRAMS_PER_BATCH {
            let Ok((length, caller)) = ingress.callers.try_recv_from(&mut buffer) else {
                break;
            };
            if !may_forward {
                shared.counters.increment(ResultCode::Recovering);
                continue;
            }
            let datagram = &buffer[..length];
            let decision = current.steer(service, &caller, datagram);
            ingress.execute(decision, caller, datagram);
        }
    }
}

/// Forwards the packets that arrive on one service socket.
struct IngressForwarder<'a> {
    shared: &'a SharedState,
    service: ServiceId,
    callers: Arc<UdpSocket>,
    carrier: Arc<UdpSocket>,
    rng: ChaCha8Rng,
    frame: [u8; MAX_FRAME_BYTES],
}

impl<'a> IngressForwarder<'a> {
    fn new(
        shared: &'a SharedState,
        service: ServiceId,
        callers: Arc<UdpSocket>,
        carrier: Arc<UdpSocket>,
    ) -> Self {
        Self {
            shared,
            service,
            callers,
            carrier,
            rng: shared.clock.new_context().rng,
            frame: [0; MAX_FRAME_BYTES],
        }
    }

    fn execute(&mut self, decision: SteeringDecision, caller: SocketAddr, datagram: &[u8]) {
        match decision {
            SteeringDecision::Forward { agent, purpose } => {
                self.forward(agent, purpose, caller, datagram);
            }
            SteeringDecision::Drop(code) => self.shared.counters.increment(code),
            SteeringDecision::Reset {
                connection_id,
                code,
            } => self.send_reset(&connection_id, code, caller, datagram.len()),
        }
    }

    fn forward(
        &mut self,
        agent: AgentAddress,
        purpose: CarrierPurpose,
        caller: SocketAddr,
        datagram: &[u8],
    ) {
        let header = CarrierHeader {
            service: self.service,
            caller,
            balancer: self.shared.address(),
            settings_version: self.shared.settings_version(),
            purpose,
        };
        let key = &self.shared.keys.carrier;
        let Ok(length) = encode_frame(key, &header, datagram, &mut self.frame) else {
            return self.shared.counters.increment(ResultCode::Malformed);
        };
        // A datagram that the socket cannot take now is dropped; QUIC recovers from packet loss.
        let sent = self
            .carrier
            .try_send_to(&self.frame[..length], agent.0.into());
        if sent.is_ok() {
            self.shared
                .packets_to_agents
                .fetch_add(1, Ordering::Relaxed);
        }
    }

    fn send_reset(
        &mut self,
        connection_id: &[u8; TOKEN_BYTES],
        code: ResultCode,
        caller: SocketAddr,
        trigger_bytes: usize,
    ) {
        self.shared.counters.increment(code);
        if !self.shared.allow_reset() {
            return;
        }
        let key = &self.shared.keys.reset;
        let reset = stateless_reset(connection_id, key, &mut self.rng, trigger_bytes);
        if let Some(reset) = reset {
            // When this reset is lost, the caller's next packet triggers another one.
            let _ = self.callers.try_send_to(reset.as_bytes(), caller);
        }
    }
}
