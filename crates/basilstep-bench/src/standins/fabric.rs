//! Stands in for the fabric that sprays packets over the balancers.
//!
//! | fault, `POST` to switch on, `DELETE` to switch off | effect |
//! |---|---|
//! | `/admin/fault/cut/<balancer ip>` | loses all packets to and from that balancer |
//! | `/admin/fault/silence/<caller address>` | loses all packets of that caller for good |
//! | `/admin/fault/blind/<balancer ip>` | keeps sending to that balancer although it is not ready |
//! | `/admin/fault/delay/<ms>` | delays each packet |
//! | `/admin/fault/lose/<permille>` | loses packets at random |
//! | `/admin/fault/duplicate/<permille>` | sends packets twice at random |
//! | `/admin/fault/reorder/<permille>` | holds packets back at random, so that later ones overtake |
//!
//! For each service address there is one socket that faces callers. Each caller of a service gets
//! one more socket towards the balancers, so that all balancers see the same address for it.

use super::http::{Body, Cut, answer, json, serve};
use argh::FromArgs;
use hyper::{Method, Request, Response, body::Incoming};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    process::ExitCode,
    str::FromStr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    net::{TcpListener, UdpSocket},
    time::{self, Instant},
};

const POLL_INTERVAL: Duration = Duration::from_millis(250);
const POLL_TIMEOUT: Duration = Duration::from_millis(250);
const CALLER_IDLE: Duration = Duration::from_mins(1);
const MAX_CALLERS: usize = 20_000;
const MAX_DATAGRAM_BYTES: usize = 65_535;
const REORDER_DELAY: Duration = Duration::from_millis(5);
const ADMIN_CONNECTIONS: usize = 64;

/// Stands in for the fabric that sprays packets over the balancers.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "fabric")]
pub struct FabricArgs {
    /// address of a service, where callers send their packets; may be repeated
    #[argh(option)]
    pub service: Vec<SocketAddrV4>,
    /// a balancer as `LISTEN_IP=READY_ADDRESS`; may be repeated
    #[argh(option)]
    pub balancer: Vec<BalancerPort>,
    /// the ip that packets to the balancers come from (default 127.0.0.1)
    #[argh(option, default = "Ipv4Addr::LOCALHOST")]
    pub upstream_ip: Ipv4Addr,
    /// address of the admin endpoint
    #[argh(option)]
    pub admin: SocketAddrV4,
}

/// Where a balancer takes packets and says whether it is ready.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BalancerPort {
    /// Takes the packets of each service at the port of the service.
    pub listen_ip: Ipv4Addr,
    /// Answers `GET /ready`.
    pub ready_address: SocketAddrV4,
}

/// What the fabric has counted, at `GET /admin/counts`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FabricCounts {
    /// By the listen address of each balancer.
    pub balancers: BTreeMap<Ipv4Addr, BalancerCounts>,
    /// Callers that are known.
    pub callers: usize,
    /// Packets that no balancer could be sent.
    pub without_balancer: u64,
    /// Packets lost by a fault that is switched on.
    pub lost_by_fault: u64,
    /// Packets of callers above the most that the fabric remembers.
    pub above_caller_limit: u64,
}

/// What the fabric has counted of one balancer.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct BalancerCounts {
    /// Packets sent to it.
    pub sent: u64,
    /// Packets that came back from it.
    pub answered: u64,
    /// Time of the last packet sent to it, in ms since the epoch.
    pub last_sent_ms: u64,
    /// Whether it says that it is ready; `None` before the first poll.
    pub ready: Option<bool>,
}

#[derive(Debug, Default)]
struct Faults {
    cut: BTreeSet<Ipv4Addr>,
    blind: BTreeSet<Ipv4Addr>,
    silence: BTreeSet<SocketAddr>,
    delay_ms: u64,
    lose_permille: u16,
    duplicate_permille: u16,
    reorder_permille: u16,
}

#[derive(Debug, Default)]
struct State {
    counts: FabricCounts,
    faults: Faults,
    next: usize,
}

#[derive(Debug)]
struct Fabric {
    args: FabricArgs,
    state: Mutex<State>,
}

/// What is to be done with one packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Fate {
    copies: usize,
    delay: Duration,
}

#[derive(Debug)]
struct Caller {
    socket: Arc<UdpSocket>,
    last_seen: Instant,
    returning: tokio::task::JoinHandle<()>,
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

/// Runs the command.
pub fn run(args: &FabricArgs) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let served = runtime.and_then(|runtime| runtime.block_on(serve_fabric(args.clone())));
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cannot bind the addresses of the fabric: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Binds and serves the fabric until the task is dropped.
///
/// # Errors
///
/// Returns an error when an address cannot be bound.
pub async fn serve_fabric(args: FabricArgs) -> io::Result<()> {
    let admin = TcpListener::bind(args.admin).await?;
    let fabric = Arc::new(Fabric {
        args,
        state: Mutex::default(),
    });
    for balancer in &fabric.args.balancer {
        tokio::spawn(poll_ready(Arc::clone(&fabric), balancer.clone()));
    }
    for &service in &fabric.args.service {
        let socket = Arc::new(UdpSocket::bind(service).await?);
        tokio::spawn(carry(Arc::clone(&fabric), service.port(), socket));
    }
    serve(admin, ADMIN_CONNECTIONS, move |request| {
        let answered = fabric.administer(&request);
        async move { Ok::<Response<Body>, Cut>(answered) }
    })
    .await;
    Ok(())
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

/// Carries the packets of one service from callers to balancers.
async fn carry(fabric: Arc<Fabric>, port: u16, front: Arc<UdpSocket>) {
    let mut callers: BTreeMap<SocketAddr, Caller> = BTreeMap::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, caller)) = front.recv_from(&mut buffer).await else {
            continue;
        };
        if !callers.contains_key(&caller) {
            forget_idle(&mut callers);
            if callers.len() >= MAX_CALLERS {
                fabric.lock().counts.above_caller_limit += 1;
                continue;
            }
            let Ok(opened) = Caller::open(&fabric, &front, caller).await else {
                continue;
            };
            callers.insert(caller, opened);
            fabric.lock().counts.callers = callers.len();
        }
        let Some(known) = callers.get_mut(&caller) else {
            continue;
        };
        known.last_seen = Instant::now();
        let Some((balancer, fate)) = fabric.choose(caller) else {
            continue;
        };
        let to = SocketAddr::from((balancer, port));
        send(&known.socket, &buffer[..length], to, fate).await;
    }
}

fn forget_idle(callers: &mut BTreeMap<SocketAddr, Caller>) {
    if callers.len() < MAX_CALLERS / 2 {
        return;
    }
    callers.retain(|_, caller| caller.last_seen.elapsed() < CALLER_IDLE);
}

async fn send(socket: &Arc<UdpSocket>, datagram: &[u8], to: SocketAddr, fate: Fate) {
    for _ in 0..fate.copies {
        if fate.delay.is_zero() {
            drop(socket.send_to(datagram, to).await);
            continue;
        }
        let socket = Arc::clone(socket);
        let datagram = datagram.to_vec();
        tokio::spawn(async move {
            time::sleep(fate.delay).await;
            drop(socket.send_to(&datagram, to).await);
        });
    }
}

impl Caller {
    async fn open(
        fabric: &Arc<Fabric>,
        front: &Arc<UdpSocket>,
        caller: SocketAddr,
    ) -> io::Result<Self> {
        let socket = Arc::new(UdpSocket::bind((fabric.args.upstream_ip, 0)).await?);
        let returning = tokio::spawn(carry_back(
            Arc::clone(fabric),
            Arc::clone(&socket),
            Arc::clone(front),
            caller,
        ));
        Ok(Self {
            socket,
            last_seen: Instant::now(),
            returning,
        })
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.returning.abort();
    }
}

/// Carries answers from whichever balancer back to one caller.
async fn carry_back(
    fabric: Arc<Fabric>,
    socket: Arc<UdpSocket>,
    front: Arc<UdpSocket>,
    caller: SocketAddr,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // An error here is the ICMP answer of a balancer that has died; the next packet may come.
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        if let Some(fate) = fabric.answered(from, caller) {
            send(&front, &buffer[..length], caller, fate).await;
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

    /// Chooses the next balancer in turn, and what becomes of the packet.
    fn choose(&self, caller: SocketAddr) -> Option<(Ipv4Addr, Fate)> {
        let mut state = self.lock();
        let Some(balancer) = self.next_balancer(&mut state) else {
            state.counts.without_balancer += 1;
            return None;
        };
        let counts = state.counts.balancers.entry(balancer).or_default();
        counts.sent += 1;
        counts.last_sent_ms = super::now_ms();
        let fate = state.faults.fate(caller, balancer);
        if fate.is_none() {
            state.counts.lost_by_fault += 1;
        }
        fate.map(|fate| (balancer, fate))
    }

    fn next_balancer(&self, state: &mut State) -> Option<Ipv4Addr> {
        let all = &self.args.balancer;
        for _ in 0..all.len() {
            state.next = (state.next + 1) % all.len();
            let ip = all[state.next].listen_ip;
            let counts = state.counts.balancers.get(&ip);
            let ready = counts.is_none_or(|counts| counts.ready != Some(false));
            if ready || state.faults.blind.contains(&ip) {
                return Some(ip);
            }
        }
        None
    }

    fn answered(&self, from: SocketAddr, caller: SocketAddr) -> Option<Fate> {
        let SocketAddr::V4(from) = from else {
            return None;
        };
        let balancer = *from.ip();
        let mut state = self.lock();
        // Packets from elsewhere are no answers; the map holds balancers only.
        state.counts.balancers.get_mut(&balancer)?.answered += 1;
        let fate = state.faults.fate(caller, balancer);
        if fate.is_none() {
            state.counts.lost_by_fault += 1;
        }
        fate
    }

    fn administer(&self, request: &Request<Incoming>) -> Response<Body> {
        let path = request.uri().path();
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        let on = *request.method() != Method::DELETE;
        let mut state = self.lock();
        match parts.as_slice() {
            ["admin", "counts"] => json(&state.counts),
            ["admin", "fault", name, value] => match state.faults.switch(name, value, on) {
                Some(()) => answer(200, "done"),
                None => answer(400, "no such fault, or a value that is not allowed"),
            },
            _ => answer(404, "no such path"),
        }
    }
}

impl Faults {
    fn switch(&mut self, name: &str, value: &str, on: bool) -> Option<()> {
        match name {
            "cut" => switch_member(&mut self.cut, value, on),
            "blind" => switch_member(&mut self.blind, value, on),
            "silence" => switch_member(&mut self.silence, value, on),
            "delay" => switch_number(&mut self.delay_ms, value, on),
            "lose" => switch_number(&mut self.lose_permille, value, on),
            "duplicate" => switch_number(&mut self.duplicate_permille, value, on),
            "reorder" => switch_number(&mut self.reorder_permille, value, on),
            _ => None,
        }
    }

    /// Returns what becomes of a packet, or `None` when it is lost.
    fn fate(&self, caller: SocketAddr, balancer: Ipv4Addr) -> Option<Fate> {
        let cut = self.cut.contains(&balancer) || self.silence.contains(&caller);
        if cut || happens(self.lose_permille) {
            return None;
        }
        let reordered = happens(self.reorder_permille);
        let extra = if reordered {
            REORDER_DELAY
        } else {
            Duration::ZERO
        };
        Some(Fate {
            copies: 1 + usize::from(happens(self.duplicate_permille)),
            delay: Duration::from_millis(self.delay_ms) + extra,
        })
    }
}

fn switch_member<T: FromStr + Ord>(set: &mut BTreeSet<T>, value: &str, on: bool) -> Option<()> {
    let member = value.parse().ok()?;
    if on {
        set.insert(member);
    } else {
        set.remove(&member);
    }
    Some(())
}

fn switch_number<T: FromStr + Default>(number: &mut T, value: &str, on: bool) -> Option<()> {
    let value = value.parse().ok()?;
    *number = if on { value } else { T::default() };
    Some(())
}

fn happens(permille: u16) -> bool {
    permille > 0 && rand::random_range(0..1_000) < permille
}
