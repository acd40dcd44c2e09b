//! Loopback networks, each reserved for one fleet on this machine.

#[cfg(test)]
mod tests;

use rustix::io::{FdFlags, fcntl_setfd};
use std::{
    net::{Ipv4Addr, UdpSocket},
    sync::Mutex,
};

/// Not used by other programs of the project, which take 127.64.0.0 to 127.191.255.255.
const FIRST_SECOND_OCTET: u8 = 192;
const NETWORKS: u32 = 62 * 256;

/// The distance between the first choices of processes with consecutive ids.
const NETWORKS_PER_PROCESS: u32 = 64;

const LOCK_HOST: u8 = 254;

/// Below the ephemeral ports, so that no other socket gets it by chance.
const LOCK_PORT: u16 = 9_400;

/// The sockets that reserve the networks of this process. They stay open until it ends because the
/// tasks of test doubles outlive their fleet.
static LOCKS: Mutex<Vec<UdpSocket>> = Mutex::new(Vec::new());

/// A network with a prefix of 24 bits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Network {
    octets: [u8; 2],
}

impl Network {
    /// Reserves a network that no fleet on this machine uses, until this process and its child
    /// processes have ended.
    ///
    /// # Panics
    ///
    /// Panics if all networks are reserved.
    pub fn reserve() -> Self {
        let first = std::process::id().wrapping_mul(NETWORKS_PER_PROCESS);
        Self::reserve_from(first % NETWORKS)
    }

    fn reserve_from(first: u32) -> Self {
        (0..NETWORKS)
            .map(|offset| Self::of_index((first + offset) % NETWORKS))
            .find(|network| network.try_lock())
            .expect("a loopback network is free")
    }

    const fn of_index(index: u32) -> Self {
        let [_, _, high, low] = index.to_be_bytes();
        Self {
            octets: [FIRST_SECOND_OCTET + high, low],
        }
    }

    fn try_lock(self) -> bool {
        let Ok(socket) = UdpSocket::bind((self.ip(LOCK_HOST), LOCK_PORT)) else {
            return false;
        };
        // Inherited by child processes, which survive a test process that is killed.
        fcntl_setfd(&socket, FdFlags::empty()).unwrap();
        LOCKS.lock().unwrap().push(socket);
        true
    }

    /// Returns the address of a machine.
    pub const fn ip(self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.octets[0], self.octets[1], number)
    }
}
