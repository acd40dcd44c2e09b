use super::key::FlowKey;
use std::net::SocketAddrV4;

/// The flags of a packet.
#[expect(
    clippy::struct_excessive_bools,
    reason = "they are independent bits of a header"
)]
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Flags {
    /// The packet opens a flow.
    pub syn: bool,
    /// The acknowledgement number counts.
    pub ack: bool,
    /// The sender has nothing more to send.
    pub fin: bool,
    /// The sender gives the flow up.
    pub rst: bool,
    /// The target has sent the packet back unread.
    pub bounced: bool,
}

/// The fields of a packet that steering looks at.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Segment {
    /// The end that wrote the packet.
    pub source: SocketAddrV4,
    /// The end that the packet is for.
    pub destination: SocketAddrV4,
    /// The flags.
    pub flags: Flags,
    /// The sequence number of the first byte of data.
    pub sequence: u32,
    /// The next byte that the sender expects; in an opening packet the number of the copy.
    pub acknowledged: u32,
    /// How much data follows the header.
    pub data_bytes: u16,
    /// A field that neither end reads and that a bounced packet returns unchanged.
    pub cookie: u32,
}

impl Segment {
    /// Tells whether the packet opens a flow.
    pub const fn opens(&self) -> bool {
        self.flags.syn && !self.flags.ack
    }

    /// Returns the flow of a packet that its caller wrote.
    pub const fn flow_of_caller(&self) -> FlowKey {
        FlowKey {
            caller: self.source,
            service_address: self.destination,
        }
    }

    /// Returns the flow of a packet that its target wrote.
    pub const fn flow_of_target(&self) -> FlowKey {
        FlowKey {
            caller: self.destination,
            service_address: self.source,
        }
    }

    /// Returns the sequence number behind the packet's data.
    pub const fn end_sequence(&self) -> u32 {
        self.sequence.wrapping_add(self.data_bytes as u32)
    }
}

/// Tells whether `left` is ahead of `right` in sequence numbers that wrap.
pub(super) const fn is_ahead(left: u32, right: u32) -> bool {
    left.wrapping_sub(right).cast_signed() > 0
}
