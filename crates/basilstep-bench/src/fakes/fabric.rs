//! A fake of the fabric that sprays packets over the balancers.
//!
//! | fault (`POST` switches it on, `DELETE` off) | effect |
//! |---|---|
//! | `/admin/fault/cut/<balancer ip>` | loses all packets to and from this balancer |
//! | `/admin/fault/silence/<caller address>` | loses all packets to and from this caller |
//! | `/admin/fault/blind/<balancer ip>` | keeps sending to this balancer although it is not ready |
//! | `/admin/fault/delay/<ms>` | delays every packet |
//! | `/admin/fault/lose/<permille>` | loses packets at random |
//! | `/admin/fault/duplicate/<permille>` | duplicates packets at random |
//! | `/admin/fault/reorder/<permille>` | delays packets at random, so that later ones overtake them |
//!
//! Each service address has one socket for callers. Each caller of a service gets a socket of its
//! own towards the balancers, so that all balancers see the same source address for it.

mod counts;
mod faults;

use super::http::{Body, ConnectionDropped, json_response, plain_response, serve};
use argh::FromArgs;
pub use counts::{BalancerCounts, FabricCounts};
use faults::{Delivery, Faults};
use hyper::{Method, Request, Response, body::Incoming};
use std::{
    collections::BTreeMap,
    io,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    process::ExitCode,
    str::FromStr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    net::{TcpListener, UdpSocket},
    task::JoinHandle,
    time::{self, Instant},
};

const POLL_INTERVAL: Duration = Duration::from_millis(250);
const POLL_TIMEOUT: Duration = Duration::from_millis(250);
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_mins(1);
const MAX_CALLERS: usize = 20_000;
const MAX_DATAGRAM_BYTES: usize = 65_535;
const ADMIN_CONNECTIONS: usize = 64;

/// Runs a fake of the fabric that sprays packets over the balancers.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "fabric")]
pub struct FabricArgs {
    /// address of a service that callers send to; may be repeated
    #[argh(option)]
    pub service: Vec<SocketAddrV4>,
    /// a balancer as `LISTEN_IP=READY_ADDRESS`; may be repeated
    #[argh(option)]
    pub balancer: Vec<BalancerPort>,
    /// source IP address of packets to the balancers (default 127.0.0.1)
    #[argh(option, default = "Ipv4Addr::LOCALHOST")]
    pub upstream_ip: Ipv4Addr,
    /// address of the admin endpoint
    #[argh(option)]
    pub admin: SocketAddrV4,
}

/// The addresses at which a balancer receives packets and reports its readiness.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BalancerPort {
    /// Receives the packets of each service, at the port of the service.
    pub listen_ip: Ipv4Addr,
    /// Serves `GET /ready`.
    pub ready_address: SocketAddrV4,
}

#[derive(Debug, Default)]
struct State {
    counts: FabricCounts,
    faults: Faults,
    next_balancer_index: usize,
}

#[derive(Debug)]
struct Fabric {
    args: FabricArgs,
    state: Mutex<State>,
}

/// A running fake of the fabric; stops when dropped.
#[derive(Debug)]
pub struct FakeFabric {
    admin: SocketAddr,
    services: Vec<SocketAddr>,
    tasks: Vec<JoinHandle<()>>,
}

#[derive(Debug)]
struct Caller {
    socket: Arc<UdpSocket>,
    last_seen: Instant,
    reply_task: JoinHandle<()>,
}

impl FromStr for BalancerPort {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (ip, ready) = text.split_once('=').ok_or("use LISTEN_IP=READY_ADDRESS")?;
        Ok(Self {
            listen_ip: ip.parse().map_err(|error| format!("{ip}: {error}"))?,
            ready_address: ready.parse().map_err(|error| format!("{ready}: {error}"))?,
        })
    }
}

/// Runs the `fabric` command.
pub fn run(args: &FabricArgs) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let served = runtime.and_then(|runtime| {
        runtime.block_on(async {
            let _fabric = FakeFabric::bind(args.clone()).await?;
            std::future::pending::<()>().await;
            Ok(())
        })
    });
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cannot bind the addresses of the fabric: {error}");
            ExitCode::FAILURE
        }
    }
}

impl FakeFabric {
    /// Binds the addresses and starts forwarding packets.
    ///
    /// # Errors
    ///
    /// Returns the system error if an address cannot be bound.
    pub async fn bind(args: FabricArgs) -> io::Result<Self> {
        let admin = TcpListener::bind(args.admin).await?;
        let mut running = Self {
            admin: admin.local_addr()?,
            services: Vec::new(),
            tasks: Vec::new(),
        };
        let fabric = Arc::new(Fabric {
            args,
            state: Mutex::default(),
        });
        for balancer in &fabric.args.balancer {
            let poll = poll_ready(Arc::clone(&fabric), balancer.clone());
            running.tasks.push(tokio::spawn(poll));
        }
        for &service in &fabric.args.service {
            let socket = Arc::new(UdpSocket::bind(service).await?);
            let address = socket.local_addr()?;
            running.services.push(address);
            let forward = forward_to_balancers(Arc::clone(&fabric), address.port(), socket);
            running.tasks.push(tokio::spawn(forward));
        }
        let admin = serve(admin, ADMIN_CONNECTIONS, move |request| {
            let answered = fabric.handle_admin(&request);
            async move { Ok::<Response<Body>, ConnectionDropped>(answered) }
        });
        running.tasks.push(tokio::spawn(admin));
        Ok(running)
    }

    /// Returns the address of the admin endpoint.
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Returns the addresses of the services, in the order of the arguments.
    pub fn services(&self) -> &[SocketAddr] {
        &self.services
    }
}

impl Drop for FakeFabric {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn poll_ready(fabric: Arc<Fabric>, balancer: BalancerPort) {
    let url = format!("http://{}/ready", balancer.ready_address);
    let Ok(client) = reqwest::Client::builder().timeout(POLL_TIMEOUT).build() else {
        return;
    };
    loop {
        let answered = client.get(&url).send().await;
        let ready = answered.is_ok_and(|response| response.status() == 200);
        fabric.set_ready(balancer.listen_ip, ready);
        time::sleep(POLL_INTERVAL).await;
    }
}

/// Forwards the packets of one service from callers to balancers.
async fn forward_to_balancers(fabric: Arc<Fabric>, port: u16, service_socket: Arc<UdpSocket>) {
    let mut callers: BTreeMap<SocketAddr, Caller> = BTreeMap::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, caller)) = service_socket.recv_from(&mut buffer).await else {
            continue;
        };
        if !callers.contains_key(&caller) {
            remove_idle(&mut callers);
            if callers.len() >= MAX_CALLERS {
                fabric.lock().counts.above_caller_limit += 1;
                continue;
            }
            let Ok(opened) = Caller::open(&fabric, &service_socket, caller).await else {
                continue;
            };
            callers.insert(caller, opened);
            fabric.lock().counts.callers = callers.len();
        }
        let Some(known) = callers.get_mut(&caller) else {
            continue;
        };
        known.last_seen = Instant::now();
        let Some((balancer, delivery)) = fabric.choose_balancer(caller) else {
            continue;
        };
        let to = SocketAddr::from((balancer, port));
        send(&known.socket, &buffer[..length], to, delivery).await;
    }
}

fn remove_idle(callers: &mut BTreeMap<SocketAddr, Caller>) {
    if callers.len() < MAX_CALLERS / 2 {
        return;
    }
    callers.retain(|_, caller| caller.last_seen.elapsed() < CALLER_IDLE_TIMEOUT);
}

async fn send(socket: &Arc<UdpSocket>, datagram: &[u8], to: SocketAddr, delivery: Delivery) {
    for _ in 0..delivery.copies {
        if delivery.delay.is_zero() {
            drop(socket.send_to(datagram, to).await);
            continue;
        }
        let socket = Arc::clone(socket);
        let datagram = datagram.to_vec();
        tokio::spawn(async move {
            time::sleep(delivery.delay).await;
            drop(socket.send_to(&datagram, to).await);
        });
    }
}

impl Caller {
    async fn open(
        fabric: &Arc<Fabric>,
        service_socket: &Arc<UdpSocket>,
        caller: SocketAddr,
    ) -> io::Result<Self> {
        let socket = Arc::new(UdpSocket::bind((fabric.args.upstream_ip, 0)).await?);
        let reply_task = tokio::spawn(forward_to_caller(
            Arc::clone(fabric),
            Arc::clone(&socket),
            Arc::clone(service_socket),
            caller,
        ));
        Ok(Self {
            socket,
            last_seen: Instant::now(),
            reply_task,
        })
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.reply_task.abort();
    }
}

/// Forwards packets from all balancers back to one caller.
async fn forward_to_caller(
    fabric: Arc<Fabric>,
    socket: Arc<UdpSocket>,
    service_socket: Arc<UdpSocket>,
    caller: SocketAddr,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // An error here is the ICMP message for a balancer that has exited; more packets may
        // follow.
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        if let Some(delivery) = fabric.deliver_reply(from, caller) {
            send(&service_socket, &buffer[..length], caller, delivery).await;
        }
    }
}

impl Fabric {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_ready(&self, balancer: Ipv4Addr, ready: bool) {
        let mut state = self.lock();
        let counts = state.counts.balancers.entry(balancer).or_default();
        counts.ready = Some(ready);
    }

    /// Chooses the next balancer in round-robin order and how to deliver the packet.
    fn choose_balancer(&self, caller: SocketAddr) -> Option<(Ipv4Addr, Delivery)> {
        let mut state = self.lock();
        let Some(balancer) = self.next_balancer(&mut state) else {
            state.counts.without_balancer += 1;
            return None;
        };
        let counts = state.counts.balancers.entry(balancer).or_default();
        counts.sent += 1;
        counts.last_sent_ms = super::now_ms();
        let delivery = state.faults.delivery(caller, balancer);
        if delivery.is_none() {
            state.counts.lost_by_fault += 1;
        }
        delivery.map(|delivery| (balancer, delivery))
    }

    fn next_balancer(&self, state: &mut State) -> Option<Ipv4Addr> {
        let all = &self.args.balancer;
        for _ in 0..all.len() {
            state.next_balancer_index = (state.next_balancer_index + 1) % all.len();
            let ip = all[state.next_balancer_index].listen_ip;
            let counts = state.counts.balancers.get(&ip);
            let ready = counts.is_none_or(|counts| counts.ready != Some(false));
            if ready || state.faults.blind.contains(&ip) {
                return Some(ip);
            }
        }
        None
    }

    fn deliver_reply(&self, from: SocketAddr, caller: SocketAddr) -> Option<Delivery> {
        let SocketAddr::V4(from) = from else {
            return None;
        };
        let balancer = *from.ip();
        let mut state = self.lock();
        // The map contains balancers only, so packets from other addresses are ignored.
        state.counts.balancers.get_mut(&balancer)?.answered += 1;
        let delivery = state.faults.delivery(caller, balancer);
        if delivery.is_none() {
            state.counts.lost_by_fault += 1;
        }
        delivery
    }

    fn handle_admin(&self, request: &Request<Incoming>) -> Response<Body> {
        let path = request.uri().path();
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        let on = *request.method() != Method::DELETE;
        let mut state = self.lock();
        match parts.as_slice() {
            ["admin", "counts"] => json_response(&state.counts),
            ["admin", "fault", name, value] => match state.faults.set_fault(name, value, on) {
                Some(()) => plain_response(200, "done"),
                None => plain_response(400, "no such fault, or a value that is not allowed"),
            },
            _ => plain_response(404, "no such path"),
        }
    }
}
