//! The `packets` experiment: the packet rate of a balancer, against a bare receive-and-send loop.
//!
//! Both forward the same datagrams of established flows from the same senders, alternately and on
//! one thread; a sink counts the forwarded datagrams. The experiment also measures the cost per
//! packet of the two processes for flows without a token.

use super::{LoadArgs, Report, processes::Processes};
use basilstep_core::{
    address::{AgentAddress, DomainId, ServiceId},
    token::FlowToken,
};
use serde_json::{Value, json};
use std::{
    error::Error,
    io::ErrorKind,
    net::{SocketAddr, SocketAddrV4, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const DATAGRAM_BYTES: usize = 1_200;
const SENDERS: u32 = 2;
const FLOWS_PER_SENDER: u32 = 50_000;
const ROUNDS: usize = 5;
const WARM_UP_DURATION: Duration = Duration::from_millis(300);
const ROUND_DURATION: Duration = Duration::from_millis(1_500);
const SOCKET_TIMEOUT: Duration = Duration::from_millis(50);
/// The goal for the rate of the balancer, as a share of the rate of the bare loop.
const GOAL_SHARE: f64 = 0.7;

/// Runs the experiment.
pub fn run(args: &LoadArgs) -> Report {
    let figures = measure(args)
        .unwrap_or_else(|error| json!({"experiment": "packets", "error": error.to_string()}));
    Report {
        figures,
        plot: None,
    }
}

fn measure(args: &LoadArgs) -> Result<Value, Box<dyn Error>> {
    // Runs first, because memory that the allocator freed would hide the size of the state.
    let without_token = super::packet_path::measure()?;
    let runtime = tokio::runtime::Runtime::new()?;
    let processes = runtime.block_on(Processes::start("packets", Some(1), 0))?;
    let plan = &processes.plan;
    let sink = Sink::open(plan.caller_ip())?;
    let flow_datagrams = |sender| flow_datagrams(&processes, sink.address, sender);
    let balancer = processes.service_address();
    let bare = BareLoop::open(plan.caller_ip(), sink.address)?;
    let memory_kb = || processes.usage(&plan.balancers[0].name).resident_kb;
    // Warms up buffers and the allocator before memory is compared.
    warm_up(&sink, balancer, &flow_datagrams(0)[..1]);
    let memory_before_kb = memory_kb();
    let mut bare_per_s = Vec::new();
    let mut balancer_per_s = Vec::new();
    for _ in 0..ROUNDS {
        let datagrams: Vec<Vec<Vec<u8>>> = (0..SENDERS).map(&flow_datagrams).collect();
        bare_per_s.push(measure_rate(&sink, bare.address, &datagrams));
        balancer_per_s.push(measure_rate(&sink, balancer, &datagrams));
    }
    let memory_after_kb = memory_kb();
    let share = median(&balancer_per_s) / median(&bare_per_s);
    let flows = u64::from(SENDERS * FLOWS_PER_SENDER);
    Ok(json!({
        "experiment": "packets",
        "seed": args.seed,
        "seeds": args.seeds,
        "datagram_bytes": DATAGRAM_BYTES,
        "threads": 1,
        "rounds": ROUNDS,
        "bare_loop_packets_per_s": rounded(&bare_per_s),
        "balancer_packets_per_s": rounded(&balancer_per_s),
        "bare_loop_median_packets_per_s": median(&bare_per_s).round(),
        "balancer_median_packets_per_s": median(&balancer_per_s).round(),
        "balancer_share_of_bare_loop": (share * 1_000.0).round() / 1_000.0,
        "goal_share": GOAL_SHARE,
        "goal_met": share >= GOAL_SHARE,
        "established_flows": flows,
        "balancer_resident_kb_before": memory_before_kb,
        "balancer_resident_kb_after": memory_after_kb,
        "balancer_bytes_per_flow": (memory_after_kb as f64 - memory_before_kb as f64)
            * 1_024.0 / flows as f64,
        "without_token": without_token,
    }))
}

/// Returns one datagram per flow of a sender, as a caller of an established flow sends it.
fn flow_datagrams(processes: &Processes, sink: SocketAddrV4, sender: u32) -> Vec<Vec<u8>> {
    let first = sender * FLOWS_PER_SENDER;
    (first..first + FLOWS_PER_SENDER)
        .map(|flow| {
            let [_, nonce @ ..] = flow.to_be_bytes();
            let token = FlowToken {
                agent: AgentAddress(sink),
                service: ServiceId(processes.plan.services[0].id),
                domain: DomainId(1),
                incarnation_low: 1,
                nonce,
            };
            let mut datagram = vec![0; DATAGRAM_BYTES];
            datagram[0] = 0x40;
            datagram[1..21].copy_from_slice(&token.encode(processes.writer.flow_key()));
            datagram
        })
        .collect()
}

/// Measures the rate at the sink while all senders send as fast as they can.
fn measure_rate(sink: &Sink, to: SocketAddrV4, datagrams: &[Vec<Vec<u8>>]) -> f64 {
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        for datagrams in datagrams {
            scope.spawn(|| send_until(&stop, to, datagrams));
        }
        thread::sleep(WARM_UP_DURATION);
        let before = sink.received.load(Ordering::Relaxed);
        let began = Instant::now();
        thread::sleep(ROUND_DURATION);
        let received = sink.received.load(Ordering::Relaxed) - before;
        let rate = received as f64 / began.elapsed().as_secs_f64();
        stop.store(true, Ordering::Relaxed);
        rate
    })
}

fn warm_up(sink: &Sink, to: SocketAddrV4, datagrams: &[Vec<u8>]) {
    measure_rate(sink, to, &[datagrams.to_vec()]);
}

fn send_until(stop: &AtomicBool, to: SocketAddrV4, datagrams: &[Vec<u8>]) {
    let Ok(socket) = UdpSocket::bind(("127.0.0.1", 0)) else {
        return;
    };
    while !stop.load(Ordering::Relaxed) {
        for datagram in datagrams {
            // The experiment intends to fill the receiver's queue, so send errors are ignored.
            let _ = socket.send_to(datagram, to);
            if stop.load(Ordering::Relaxed) {
                return;
            }
        }
    }
}

/// Counts the received datagrams.
struct Sink {
    address: SocketAddrV4,
    received: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
}

impl Sink {
    fn open(ip: std::net::Ipv4Addr) -> Result<Self, Box<dyn Error>> {
        let socket = UdpSocket::bind((ip, 0))?;
        socket.set_read_timeout(Some(SOCKET_TIMEOUT))?;
        let received = Arc::new(AtomicU64::new(0));
        let stop = Arc::new(AtomicBool::new(false));
        let sink = Self {
            address: ipv4_address(socket.local_addr()?)?,
            received: Arc::clone(&received),
            stop: Arc::clone(&stop),
        };
        thread::spawn(move || {
            let mut buffer = [0; 2 * DATAGRAM_BYTES];
            while !stop.load(Ordering::Relaxed) {
                if socket.recv_from(&mut buffer).is_ok() {
                    received.fetch_add(1, Ordering::Relaxed);
                }
            }
        });
        Ok(sink)
    }
}

impl Drop for Sink {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// Receives and sends each datagram without any processing.
struct BareLoop {
    address: SocketAddrV4,
    stop: Arc<AtomicBool>,
}

impl BareLoop {
    fn open(ip: std::net::Ipv4Addr, to: SocketAddrV4) -> Result<Self, Box<dyn Error>> {
        let receive = UdpSocket::bind((ip, 0))?;
        let send = UdpSocket::bind((ip, 0))?;
        receive.set_read_timeout(Some(SOCKET_TIMEOUT))?;
        let stop = Arc::new(AtomicBool::new(false));
        let bare = Self {
            address: ipv4_address(receive.local_addr()?)?,
            stop: Arc::clone(&stop),
        };
        thread::spawn(move || {
            let mut buffer = [0; 2 * DATAGRAM_BYTES];
            while !stop.load(Ordering::Relaxed) {
                match receive.recv_from(&mut buffer) {
                    Ok((length, _)) => {
                        // A datagram that the sink cannot take is lost, as with the balancer.
                        let _ = send.send_to(&buffer[..length], to);
                    }
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                    Err(_) => return,
                }
            }
        });
        Ok(bare)
    }
}

impl Drop for BareLoop {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

fn ipv4_address(address: SocketAddr) -> Result<SocketAddrV4, Box<dyn Error>> {
    match address {
        SocketAddr::V4(address) => Ok(address),
        SocketAddr::V6(_) => Err("an IPv4 address was bound".into()),
    }
}

pub fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or_default()
}

fn rounded(values: &[f64]) -> Vec<f64> {
    values.iter().map(|value| value.round()).collect()
}
