//! What the controller is told and asked.

use basilstep_core::membership::{BalancerRecord, SettingsDelta, Snapshot};
use basilstep_node::store::TreeSnapshot;
use std::net::SocketAddrV4;

/// Time passes.
#[derive(Clone, Copy, Debug)]
pub struct Tick;

/// A membership datagram has arrived.
#[derive(Clone, Debug)]
pub struct DatagramReceived {
    /// Who sent it.
    pub from: SocketAddrV4,
    /// What it holds, still sealed.
    pub bytes: Vec<u8>,
}

/// The store has answered.
#[derive(Clone, Debug)]
pub struct StoreTreeRead(pub TreeSnapshot);

/// The store has listed the balancers that hold a lease.
#[derive(Clone, Debug)]
pub struct BalancersListed(pub Vec<BalancerRecord>);

/// A peer has handed over settings.
#[derive(Clone, Debug)]
pub struct SettingsDeltaFetched(pub SettingsDelta);

/// A peer has handed over its membership view.
#[derive(Clone, Debug)]
pub struct SnapshotFetched(pub Snapshot);

/// The process has been asked to stop.
#[derive(Clone, Copy, Debug)]
pub struct Drain;

/// Asks whether this balancer is one that watches the store.
#[derive(Clone, Copy, Debug)]
pub struct IsStoreWatcher;

/// Asks for the settings above a version, for a peer.
#[derive(Clone, Debug)]
pub struct CollectSettingsDelta {
    /// What the peer has.
    pub above_version: u64,
    /// The path of the service that it serves, if it is an agent.
    pub service: Option<String>,
}

/// Asks for the membership view, for a peer.
#[derive(Clone, Copy, Debug)]
pub struct TakeSnapshot;

/// Asks for the state, for a dump.
#[derive(Clone, Copy, Debug)]
pub struct CollectDump;
