//! The messages that the controller handles.

use basilstep_core::membership::{BalancerRecord, MembershipSnapshot, SettingsDelta};
use basilstep_node::store::TreeSnapshot;
use std::net::SocketAddrV4;

/// Drives the controller's timers.
#[derive(Clone, Copy, Debug)]
pub struct Tick;

/// Delivers a membership datagram.
#[derive(Clone, Debug)]
pub struct DatagramReceived {
    /// The sender.
    pub from: SocketAddrV4,
    /// The authenticated message, not yet decoded.
    pub bytes: Vec<u8>,
}

/// Delivers the settings records read from the store.
#[derive(Clone, Debug)]
pub struct StoreTreeRead(pub TreeSnapshot);

/// Delivers the list of balancers that hold a lease in the store.
#[derive(Clone, Debug)]
pub struct BalancersListed(pub Vec<BalancerRecord>);

/// Delivers a settings delta that was fetched from a peer.
#[derive(Clone, Debug)]
pub struct SettingsDeltaFetched(pub SettingsDelta);

/// Delivers a membership snapshot that was fetched from a peer.
#[derive(Clone, Debug)]
pub struct SnapshotFetched(pub MembershipSnapshot);

/// Starts draining because the process was asked to stop.
#[derive(Clone, Copy, Debug)]
pub struct Drain;

/// Queries whether this balancer has to watch the store.
#[derive(Clone, Copy, Debug)]
pub struct IsStoreWatcher;

/// Requests the settings above a version, for a peer.
#[derive(Clone, Debug)]
pub struct CollectSettingsDelta {
    /// The version that the peer already has.
    pub above_version: u64,
    /// The path of the peer's service, if the peer is an agent.
    pub service: Option<String>,
}

/// Requests a snapshot of the membership view, for a peer.
#[derive(Clone, Copy, Debug)]
pub struct TakeSnapshot;

/// Requests the control state for a dump.
#[derive(Clone, Copy, Debug)]
pub struct CollectDump;
