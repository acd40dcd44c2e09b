//! Callers that open flows, send requests and check the answers against the invariants.

use super::{
    invariants::{Invariants, Reset},
    routers::Routers,
};
use crate::support::{
    packet::{ACK, Packet, RST, SYN},
    target::TargetConfig,
};
use rand_chacha::{ChaCha8Rng, rand_core::Rng};
use std::{
    net::SocketAddrV4,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};
use tokio::{
    net::UdpSocket,
    time::{Duration, Instant, sleep, timeout},
};

/// The intervals between SYN retransmissions, as in the platform's callers.
const SYN_INTERVALS: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(800),
];

/// The maximum distance of a reset's sequence number from the caller's last acknowledgement.
const MAX_RESET_DISTANCE: u32 = 76_800;

/// The time that a caller waits for an answer before it gives up the flow.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
const RESEND_AFTER: Duration = Duration::from_millis(200);
const REQUESTS_PER_FLOW: u32 = 40;
const MAX_THINK_TIME_MS: u32 = 120;
const FIRST_PORT: u16 = 20_000;

/// The configuration of a caller, which uses a single route.
#[derive(Clone, Debug)]
pub struct CallerConfig {
    pub address: SocketAddrV4,
    pub entry: SocketAddrV4,
    pub is_idempotent: bool,
}

/// The outcome of a request.
enum Answer {
    Whole(Packet),
    Reset,
    None,
}

struct Caller {
    config: CallerConfig,
    socket: UdpSocket,
    routers: Routers,
    invariants: Arc<Invariants>,
}

/// Opens one flow after another until `is_stopped` is set.
pub async fn call(
    config: CallerConfig,
    routers: Routers,
    invariants: Arc<Invariants>,
    mut random: ChaCha8Rng,
    is_stopped: Arc<AtomicBool>,
) {
    let socket = UdpSocket::bind(config.address).await.unwrap();
    let caller = Caller {
        config,
        socket,
        routers,
        invariants,
    };
    let mut port = FIRST_PORT;
    while !is_stopped.load(Ordering::SeqCst) {
        port += 1;
        caller.run_flow(port, &mut random, &is_stopped).await;
        sleep(think_time(&mut random)).await;
    }
}

fn think_time(random: &mut ChaCha8Rng) -> Duration {
    Duration::from_millis(u64::from(random.next_u32() % MAX_THINK_TIME_MS))
}

impl Caller {
    async fn run_flow(&self, port: u16, random: &mut ChaCha8Rng, is_stopped: &AtomicBool) {
        let source = SocketAddrV4::new(*self.config.address.ip(), port);
        let Some(opened) = self.open_flow(source).await else {
            self.invariants.record_unopened_flow();
            return;
        };
        self.invariants.record_opened_flow();
        let run = TargetConfig::run_of(opened.sequence);
        let mut target_id: Option<String> = None;
        for number in 0..REQUESTS_PER_FLOW {
            if is_stopped.load(Ordering::SeqCst) {
                return;
            }
            let text = format!("{port}.{number}");
            match self.request(source, &opened, &text).await {
                Answer::Whole(answer) => {
                    let target = self.target_of(&answer, &text);
                    self.invariants.record_answer();
                    let before = target_id.get_or_insert_with(|| target.clone());
                    if *before != target || TargetConfig::run_of(answer.sequence) != run {
                        self.invariants.record_violation(format!(
                            "flow {source} moved from {before} to {target}"
                        ));
                    }
                }
                Answer::Reset => {
                    self.invariants.check_reset(&Reset {
                        flow: source,
                        target_id,
                        run,
                        is_idempotent: self.config.is_idempotent,
                    });
                    return;
                }
                Answer::None => {
                    self.invariants.record_unanswered_request();
                    return;
                }
            }
            sleep(think_time(random)).await;
        }
    }

    async fn open_flow(&self, source: SocketAddrV4) -> Option<Packet> {
        for (retransmission, wait) in SYN_INTERVALS.into_iter().enumerate() {
            let packet = Packet {
                flags: SYN,
                acknowledged: retransmission as u32,
                ..self.packet(source)
            };
            self.send(&packet).await;
            let is_ours = |answer: &Packet| answer.destination == source;
            match self.receive(wait, is_ours).await {
                Some(answer) if answer.is(RST) => return None,
                Some(answer) => return Some(answer),
                None => {}
            }
        }
        None
    }

    async fn request(&self, source: SocketAddrV4, opened: &Packet, text: &str) -> Answer {
        let packet = Packet {
            flags: ACK,
            sequence: 101,
            acknowledged: opened.sequence + 1,
            data: text.as_bytes().to_vec(),
            ..self.packet(source)
        };
        let until = Instant::now() + ANSWER_TIMEOUT;
        while Instant::now() < until {
            self.send(&packet).await;
            let is_ours = |answer: &Packet| {
                // The platform's callers ignore resets outside of this distance on an open flow.
                let distance = answer.sequence.abs_diff(packet.acknowledged);
                let is_reset = answer.is(RST) && distance <= MAX_RESET_DISTANCE;
                answer.destination == source && (is_reset || is_answer_to(answer, text))
            };
            match self.receive(RESEND_AFTER, is_ours).await {
                Some(answer) if answer.is(RST) => return Answer::Reset,
                Some(answer) => return Answer::Whole(answer),
                None => {}
            }
        }
        Answer::None
    }

    /// Returns the id of the target that sent an answer.
    fn target_of(&self, answer: &Packet, text: &str) -> String {
        if answer.source != self.config.entry {
            self.invariants.record_violation(format!(
                "answer {text} came from {} and not from {}",
                answer.source, self.config.entry
            ));
        }
        let text_of_answer = String::from_utf8_lossy(&answer.data).into_owned();
        text_of_answer
            .split_whitespace()
            .next()
            .unwrap_or_default()
            .to_owned()
    }

    fn packet(&self, source: SocketAddrV4) -> Packet {
        Packet {
            flags: 0,
            source,
            destination: self.config.entry,
            sequence: 100,
            acknowledged: 0,
            data: Vec::new(),
        }
    }

    async fn send(&self, packet: &Packet) {
        if let Some(balancer) = self.routers.balancer_for(packet) {
            // An error means that the balancer has just ended; the packet counts as lost.
            let _ = self.socket.send_to(&packet.encode(), balancer).await;
        }
    }

    async fn receive(&self, wait: Duration, is_ours: impl Fn(&Packet) -> bool) -> Option<Packet> {
        let received = async {
            let mut buffer = [0; 2_048];
            loop {
                let Ok((bytes, _)) = self.socket.recv_from(&mut buffer).await else {
                    continue;
                };
                let answer = Packet::decode(&buffer[..bytes]);
                if is_ours(&answer) {
                    return answer;
                }
            }
        };
        timeout(wait, received).await.ok()
    }
}

fn is_answer_to(answer: &Packet, text: &str) -> bool {
    String::from_utf8_lossy(&answer.data)
        .split_whitespace()
        .next_back()
        == Some(text)
}
