use super::key::FlowKey;
use std::net::SocketAddrV4;

/// The flags of a packet.
#[expect(
    clippy::struct_excessive_bools,
    reason = "they are independent bits of a header"
)]
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Flags {
    /// The packet is a SYN, which opens a flow, or a SYN-ACK, which answers one.
    pub syn: bool,
    /// The acknowledgement number is valid.
    pub ack: bool,
    /// The sender has no more data.
    pub fin: bool,
    /// The sender aborts the flow.
    pub rst: bool,
    /// The target has returned the packet without processing it.
    pub bounced: bool,
}

/// The fields of a packet that steering uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Segment {
    /// The endpoint that sent the packet.
    pub source: SocketAddrV4,
    /// The endpoint that the packet is sent to.
    pub destination: SocketAddrV4,
    /// The flags.
    pub flags: Flags,
    /// The sequence number of the first byte of data.
    pub sequence: u32,
    /// The next byte that the sender expects; in a SYN the number of its retransmission.
    pub acknowledged: u32,
    /// The length of the data after the header.
    pub data_bytes: u16,
    /// A field that neither endpoint reads and that a bounced packet returns unchanged.
    pub cookie: u32,
}

impl Segment {
    /// Returns whether the packet is a SYN, which opens a flow, and not a SYN-ACK.
    pub const fn is_syn(&self) -> bool {
        self.flags.syn && !self.flags.ack
    }

    /// Returns the flow of a packet that its caller sent.
    pub const fn flow_of_caller(&self) -> FlowKey {
        FlowKey {
            caller: self.source,
            service_address: self.destination,
        }
    }

    /// Returns the flow of a packet that its target sent.
    pub const fn flow_of_target(&self) -> FlowKey {
        FlowKey {
            caller: self.destination,
            service_address: self.source,
        }
    }

    /// Returns the sequence number after the packet's data.
    pub const fn end_sequence(&self) -> u32 {
        self.sequence.wrapping_add(self.data_bytes as u32)
    }
}

/// Returns whether `left` is after `right`, in sequence numbers that wrap around.
pub(super) const fn is_ahead(left: u32, right: u32) -> bool {
    left.wrapping_sub(right).cast_signed() > 0
}
