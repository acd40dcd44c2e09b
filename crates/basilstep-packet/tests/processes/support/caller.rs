//! Test double of callers and of the routers in front of the balancers.

use super::{
    flow::{CALLER_SEQUENCE, CallerFlow, Received},
    packet::{Packet, RST, SYN},
};
use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddrV4},
    sync::Mutex,
    time::Duration,
};
use tokio::{net::UdpSocket, time::timeout};

const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_ATTEMPTS: usize = 25;
const MAX_SYNS: usize = 3;

/// The retransmission interval of the platform's callers.
const RETRANSMIT_INTERVAL: Duration = Duration::from_millis(200);

/// A caller that uses one socket for all its flows.
#[derive(Debug)]
pub struct Caller {
    ip: Ipv4Addr,
    socket: UdpSocket,
    /// The open flows by their source.
    flows: Mutex<BTreeMap<SocketAddrV4, CallerFlow>>,
}

impl Caller {
    pub async fn open(ip: Ipv4Addr, port: u16) -> Self {
        let socket = UdpSocket::bind(SocketAddrV4::new(ip, port)).await.unwrap();
        Self {
            ip,
            socket,
            flows: Mutex::default(),
        }
    }

    /// Opens a flow through `balancer` and returns the target's answer.
    pub async fn open_flow(
        &self,
        balancer: SocketAddrV4,
        port: u16,
        entry: SocketAddrV4,
    ) -> Option<Packet> {
        let syn = Packet {
            flags: SYN,
            source: SocketAddrV4::new(self.ip, port),
            destination: entry,
            sequence: CALLER_SEQUENCE,
            acknowledged: 0,
            data: Vec::new(),
        };
        let receive = |answer: &Packet| {
            if answer.destination == syn.source {
                Received::Answer
            } else {
                Received::Nothing
            }
        };
        let opened = self.exchange(balancer, &syn, MAX_SYNS, receive).await?;
        if opened.is(SYN) {
            let mut flows = self.flows.lock().unwrap();
            flows.insert(syn.source, CallerFlow::new(&opened));
        }
        Some(opened)
    }

    /// Sends a request on an open flow through `balancer` and returns the answer or a reset.
    ///
    /// # Panics
    ///
    /// Panics if data arrives that neither continues the flow nor repeats a part of it.
    pub async fn request(
        &self,
        balancer: SocketAddrV4,
        opened: &Packet,
        text: &str,
    ) -> Option<Packet> {
        let mut flow = self.flows.lock().unwrap()[&opened.destination];
        let request = flow.start_request(text);
        let answer = self
            .exchange(balancer, &request, MAX_ATTEMPTS, |packet| {
                flow.receive(packet)
            })
            .await;
        if answer.as_ref().is_some_and(|answer| !answer.is(RST)) {
            self.send(balancer, &flow.acknowledgement()).await;
        }
        self.flows.lock().unwrap().insert(opened.destination, flow);
        answer
    }

    /// Sends a packet until its answer or a reset arrives, and acknowledges repeated data meanwhile.
    async fn exchange(
        &self,
        balancer: SocketAddrV4,
        packet: &Packet,
        max_attempts: usize,
        mut receive: impl FnMut(&Packet) -> Received,
    ) -> Option<Packet> {
        let exchanged = async {
            for _ in 0..max_attempts {
                self.send(balancer, packet).await;
                let mut buffer = [0; 2_048];
                while let Ok(received) =
                    timeout(RETRANSMIT_INTERVAL, self.socket.recv_from(&mut buffer)).await
                {
                    let (bytes, _) = received.unwrap();
                    let answer = Packet::decode(&buffer[..bytes]);
                    match receive(&answer) {
                        Received::Answer | Received::Reset => return Some(answer),
                        Received::Repeated => {
                            let acknowledgement = Packet {
                                data: Vec::new(),
                                ..packet.clone()
                            };
                            self.send(balancer, &acknowledgement).await;
                        }
                        Received::Nothing => {}
                        Received::Unexpected => panic!("{answer:?} does not fit {packet:?}"),
                    }
                }
            }
            None
        };
        timeout(ANSWER_TIMEOUT, exchanged).await.ok().flatten()
    }

    async fn send(&self, balancer: SocketAddrV4, packet: &Packet) {
        let bytes = packet.encode();
        self.socket.send_to(&bytes, balancer).await.unwrap();
    }
}
