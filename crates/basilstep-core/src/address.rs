//! Identifiers and addresses shared by all modules.

use serde::{Deserialize, Serialize};
use std::{fmt, net::SocketAddrV4};

/// The number of a service, unique among all teams; claimed in the store under `claims/ids/`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ServiceId(pub u16);

/// The number of a failure domain, as stored in its record under `domains/`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct DomainId(pub u8);

/// Distinguishes successive runs of one process at the same address.
///
/// The value is the process's start time in seconds, so that a later run has a higher number.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Incarnation(pub u32);

/// The carrier address of an agent, to which balancers and other agents send datagrams.
///
/// The carrier is the UDP protocol of [`crate::wire`] between balancers and agents. The agent's TCP
/// relay port has the same number as its UDP carrier port.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct AgentAddress(pub SocketAddrV4);

/// The carrier address of a balancer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct BalancerAddress(pub SocketAddrV4);

impl fmt::Display for ServiceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl fmt::Display for DomainId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl fmt::Display for AgentAddress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl fmt::Display for BalancerAddress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
