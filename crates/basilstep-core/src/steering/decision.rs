use super::{
    header::{PacketHeader, PacketKind, parse_header},
    table::SteeringTable,
};
use crate::{
    address::{AgentAddress, ServiceId},
    codes::ResultCode,
    domains::DomainPhase,
    token::{FlowToken, TOKEN_BYTES},
    wire::CarrierPurpose,
};
use std::net::SocketAddr;

/// The action that a balancer takes on a caller's datagram.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SteeringDecision {
    /// Forward it to an agent.
    Forward {
        /// The agent.
        agent: AgentAddress,
        /// The purpose in the carrier header.
        purpose: CarrierPurpose,
    },
    /// Drop it without an answer and count it under the code.
    Drop(ResultCode),
    /// Answer with a stateless reset, so that the caller reopens its flow at once.
    Reset {
        /// The destination connection ID of the datagram.
        connection_id: [u8; TOKEN_BYTES],
        /// Why the flow has ended.
        code: ResultCode,
    },
}

impl SteeringTable {
    /// Decides what to do with a datagram received on the address of `service`; allocates nothing.
    pub fn steer(
        &self,
        service: ServiceId,
        caller: &SocketAddr,
        datagram: &[u8],
    ) -> SteeringDecision {
        let header = match parse_header(datagram) {
            Ok(header) => header,
            Err(error) => return SteeringDecision::Drop(error.code()),
        };
        if let Some(token) = self.read_token(header.connection_id) {
            return self.steer_by_token(service, &header, &token);
        }
        if header.kind == PacketKind::Opening {
            return self.place(service, caller, header.connection_id);
        }
        SteeringDecision::Drop(ResultCode::BadToken)
    }

    fn read_token(&self, connection_id: &[u8]) -> Option<FlowToken> {
        self.flow_keys.as_ref()?.decode(connection_id)
    }

    fn steer_by_token(
        &self,
        service: ServiceId,
        header: &PacketHeader<'_>,
        token: &FlowToken,
    ) -> SteeringDecision {
        if token.service != service {
            return SteeringDecision::Drop(ResultCode::ForeignService);
        }
        match self.domains.of(token.domain) {
            DomainPhase::Serving | DomainPhase::Held | DomainPhase::Closing => {}
            DomainPhase::Resetting => return reset_or_drop(header, ResultCode::TokenDomainOut),
            DomainPhase::Out => return SteeringDecision::Drop(ResultCode::TokenDomainOut),
        }
        if self.is_dead(token) {
            return reset_or_drop(header, ResultCode::TargetDead);
        }
        SteeringDecision::Forward {
            agent: token.agent,
            purpose: CarrierPurpose::Established,
        }
    }

    fn place(
        &self,
        service: ServiceId,
        caller: &SocketAddr,
        connection_id: &[u8],
    ) -> SteeringDecision {
        let Some(targets) = self.targets(service) else {
            return SteeringDecision::Drop(ResultCode::UnknownService);
        };
        match targets.candidates(caller, connection_id) {
            Some(candidates) => SteeringDecision::Forward {
                agent: candidates.first,
                purpose: CarrierPurpose::Offer { candidates },
            },
            None => SteeringDecision::Drop(ResultCode::NoTarget),
        }
    }
}

/// Ends a flow whose agent must not or cannot receive packets.
///
/// A caller accepts a stateless reset only in place of a packet with a short header, so other
/// packets are dropped.
fn reset_or_drop(header: &PacketHeader<'_>, code: ResultCode) -> SteeringDecision {
    match <[u8; TOKEN_BYTES]>::try_from(header.connection_id) {
        Ok(connection_id) if header.kind == PacketKind::Short => SteeringDecision::Reset {
            connection_id,
            code,
        },
        _ => SteeringDecision::Drop(code),
    }
}
