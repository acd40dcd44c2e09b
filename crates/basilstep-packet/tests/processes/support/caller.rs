//! Test double of callers and of the routers in front of the balancers.

use super::packet::{ACK, Packet, SYN};
use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};
use tokio::{net::UdpSocket, time::timeout};

const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_ATTEMPTS: usize = 25;

/// The retransmission interval of the platform's callers.
const RETRANSMIT_INTERVAL: Duration = Duration::from_millis(200);

/// A caller that uses one socket for all its flows.
#[derive(Debug)]
pub struct Caller {
    ip: Ipv4Addr,
    socket: UdpSocket,
}

impl Caller {
    pub async fn open(ip: Ipv4Addr, port: u16) -> Self {
        let socket = UdpSocket::bind(SocketAddrV4::new(ip, port)).await.unwrap();
        Self { ip, socket }
    }

    fn packet(&self, port: u16, entry: SocketAddrV4) -> Packet {
        Packet {
            flags: 0,
            source: SocketAddrV4::new(self.ip, port),
            destination: entry,
            sequence: 100,
            acknowledged: 0,
            data: Vec::new(),
        }
    }

    /// Opens a flow through `balancer` and returns the target's answer.
    pub async fn open_flow(
        &self,
        balancer: SocketAddrV4,
        port: u16,
        entry: SocketAddrV4,
    ) -> Option<Packet> {
        let packet = Packet {
            flags: SYN,
            ..self.packet(port, entry)
        };
        self.exchange(balancer, &packet, 3).await
    }

    /// Sends a request on an open flow through `balancer` and returns the answer.
    pub async fn request(
        &self,
        balancer: SocketAddrV4,
        opened: &Packet,
        text: &str,
    ) -> Option<Packet> {
        let packet = Packet {
            flags: ACK,
            sequence: 101,
            acknowledged: opened.sequence + 1,
            data: text.as_bytes().to_vec(),
            ..self.packet(opened.destination.port(), opened.source)
        };
        self.exchange(balancer, &packet, MAX_ATTEMPTS).await
    }

    async fn exchange(
        &self,
        balancer: SocketAddrV4,
        packet: &Packet,
        max_attempts: usize,
    ) -> Option<Packet> {
        let exchanged = async {
            for _ in 0..max_attempts {
                self.socket
                    .send_to(&packet.encode(), balancer)
                    .await
                    .unwrap();
                let mut buffer = [0; 2_048];
                while let Ok(received) =
                    timeout(RETRANSMIT_INTERVAL, self.socket.recv_from(&mut buffer)).await
                {
                    let (bytes, _) = received.unwrap();
                    let answer = Packet::decode(&buffer[..bytes]);
                    if answer.destination == packet.source {
                        return Some(answer);
                    }
                }
            }
            None
        };
        timeout(ANSWER_TIMEOUT, exchanged).await.ok().flatten()
    }
}
