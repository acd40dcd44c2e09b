//! Callers that open flows, send requests and check the answers against the invariants.

use super::{
    invariants::{Invariants, Reset},
    routers::Routers,
};
use crate::support::{
    flow::{CALLER_SEQUENCE, CallerFlow, Received},
    packet::{Packet, RST, SYN},
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
        let mut flow = CallerFlow::new(&opened);
        let mut target_id: Option<String> = None;
        for number in 0..REQUESTS_PER_FLOW {
            if is_stopped.load(Ordering::SeqCst) {
                return;
            }
            let text = format!("{port}.{number}");
            match self.request(&mut flow, &text).await {
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

    async fn request(&self, flow: &mut CallerFlow, text: &str) -> Answer {
        let request = flow.start_request(text);
        let until = Instant::now() + ANSWER_TIMEOUT;
        while Instant::now() < until {
            self.send(&request).await;
            let is_final = |packet: &Packet| self.is_final(flow, &request, packet);
            match self.receive(RESEND_AFTER, is_final).await {
                Some(answer) if answer.is(RST) => return Answer::Reset,
                Some(answer) => {
                    self.send(&flow.acknowledgement()).await;
                    return Answer::Whole(answer);
                }
                None => {}
            }
        }
        Answer::None
    }

    /// Returns whether `packet` is the answer to a request or resets its flow.
    fn is_final(&self, flow: &mut CallerFlow, request: &Packet, packet: &Packet) -> bool {
        match flow.receive(packet) {
            Received::Answer => true,
            Received::Reset => {
                // The platform's callers ignore resets outside of this distance on an open flow.
                let distance = packet.sequence.abs_diff(request.acknowledged);
                distance <= MAX_RESET_DISTANCE
            }
            Received::Repeated => {
                if let Some(balancer) = self.routers.balancer_for(request) {
                    // An acknowledgement that cannot be sent counts as lost.
                    let bytes = flow.acknowledgement().encode();
                    let _ = self.socket.try_send_to(&bytes, balancer.into());
                }
                false
            }
            Received::Nothing => false,
            Received::Unexpected => {
                self.invariants
                    .record_violation(format!("{packet:?} does not fit {flow:?}"));
                false
            }
        }
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
        let mut words = text_of_answer.split_whitespace();
        let target = words.next().unwrap_or_default().to_owned();
        if words.next_back() != Some(text) {
            self.invariants
                .record_violation(format!("{text_of_answer:?} does not answer {text}"));
        }
        target
    }

    fn packet(&self, source: SocketAddrV4) -> Packet {
        Packet {
            flags: 0,
            source,
            destination: self.config.entry,
            sequence: CALLER_SEQUENCE,
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

    async fn receive(
        &self,
        wait: Duration,
        mut is_ours: impl FnMut(&Packet) -> bool,
    ) -> Option<Packet> {
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
