//! The sockets on which callers' packets arrive, one or more per service address.

use crate::{ingress, settings::BalancerSettings, shared_state::SharedState};
use basilstep_core::{address::ServiceId, settings::SettingsView};
use socket2::{Domain, Protocol, Socket, Type};
use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    net::SocketAddrV4,
    sync::{Arc, PoisonError, RwLock},
};
use tokio::{net::UdpSocket, task::JoinHandle};

const SOCKET_BUFFER_BYTES: usize = 256 << 10;

/// The open service sockets, by service.
#[derive(Debug, Default)]
pub struct Listeners {
    by_service: RwLock<BTreeMap<ServiceId, Listener>>,
}

#[derive(Debug)]
struct Listener {
    address: SocketAddrV4,
    sockets: Vec<Arc<UdpSocket>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Listener {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl Listeners {
    /// Returns the socket that sends packets of a service to callers.
    pub fn socket_for(&self, service: ServiceId) -> Option<Arc<UdpSocket>> {
        let listeners = self
            .by_service
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        listeners
            .get(&service)
            .and_then(|listener| listener.sockets.first())
            .map(Arc::clone)
    }

    /// Opens and closes sockets to match the settings in force.
    pub fn reconcile(
        self: &Arc<Self>,
        shared: &Arc<SharedState>,
        carrier: &Arc<UdpSocket>,
        view: &SettingsView,
    ) {
        self.close_stale(view, &shared.settings);
        let missing: Vec<(ServiceId, SocketAddrV4)> = view
            .services
            .iter()
            .filter(|(id, _)| self.socket_for(**id).is_none())
            .map(|(id, service)| {
                (
                    *id,
                    listen_address(&shared.settings, service.record.address),
                )
            })
            .collect();
        for (service, address) in missing {
            match open_listener(shared, carrier, service, address) {
                Ok(listener) => self.insert(service, listener),
                Err(error) => log::error!(
                    code = basilstep_core::codes::ResultCode::BindFailed.number(),
                    address = address.to_string();
                    "cannot bind a service address: {error}"
                ),
            }
        }
    }

    /// Returns whether the packets of at least one service can arrive, or no service exists yet.
    ///
    /// An address that cannot be bound is an error in a single record and must not make the
    /// balancer unavailable to all other services.
    pub fn can_receive(&self, view: &SettingsView) -> bool {
        view.services.is_empty() || !self.bound_addresses().is_empty()
    }

    /// Returns the service addresses that are bound.
    pub fn bound_addresses(&self) -> BTreeSet<SocketAddrV4> {
        let listeners = self
            .by_service
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        listeners
            .values()
            .map(|listener| listener.address)
            .collect()
    }

    fn insert(&self, service: ServiceId, listener: Listener) {
        let mut listeners = self
            .by_service
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        listeners.insert(service, listener);
    }

    fn close_stale(&self, view: &SettingsView, settings: &BalancerSettings) {
        let mut listeners = self
            .by_service
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        listeners.retain(|id, listener| {
            view.services.get(id).is_some_and(|service| {
                listen_address(settings, service.record.address) == listener.address
            })
        });
    }
}

fn listen_address(settings: &BalancerSettings, service: SocketAddrV4) -> SocketAddrV4 {
    let ip = settings.listen_ip.unwrap_or(*service.ip());
    SocketAddrV4::new(ip, service.port())
}

fn open_listener(
    shared: &Arc<SharedState>,
    carrier: &Arc<UdpSocket>,
    service: ServiceId,
    address: SocketAddrV4,
) -> io::Result<Listener> {
    let count = shared.settings.packet_sockets;
    let sockets = (0..count)
        .map(|_| bind_udp(address, count > 1).map(Arc::new))
        .collect::<io::Result<Vec<_>>>()?;
    let tasks = sockets
        .iter()
        .map(|socket| {
            let forward = ingress::forward_to_agents(
                Arc::clone(shared),
                service,
                Arc::clone(socket),
                Arc::clone(carrier),
            );
            tokio::spawn(forward)
        })
        .collect();
    Ok(Listener {
        address,
        sockets,
        tasks,
    })
}

/// Binds a UDP socket with large buffers.
///
/// # Errors
///
/// Returns the I/O error when the socket cannot be created, configured or bound.
pub fn bind_udp(address: SocketAddrV4, reuse_port: bool) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_nonblocking(true)?;
    socket.set_reuse_port(reuse_port)?;
    socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.set_send_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.bind(&address.into())?;
    UdpSocket::from_std(socket.into())
}
