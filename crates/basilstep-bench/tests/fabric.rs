//! Tests the fake fabric between a caller and two balancers.

use basilstep_bench::fakes::{
    fabric::{BalancerPort, FabricArgs, FabricCounts, FakeFabric},
    http::{ConnectionDropped, plain_response, serve},
};
use reqwest::Client;
use rstest::rstest;
use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    sync::{
        Arc,
        atomic::{AtomicU16, Ordering},
    },
    time::Duration,
};
use tokio::{
    net::{TcpListener, UdpSocket},
    time,
};

const POLL_INTERVAL: Duration = Duration::from_millis(5);
const MAX_POLLS: usize = 1_000;
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(5);

struct Balancer {
    socket: UdpSocket,
    ip: Ipv4Addr,
    status: Arc<AtomicU16>,
}

struct Fixture {
    fabric: FakeFabric,
    balancers: Vec<Balancer>,
    caller: UdpSocket,
    client: Client,
}

/// Serves `/ready` with a status that a test can change.
async fn serve_ready(ip: Ipv4Addr) -> (SocketAddrV4, Arc<AtomicU16>) {
    let status = Arc::new(AtomicU16::new(200));
    let listener = TcpListener::bind((ip, 0)).await.expect("a port is free");
    let Ok(SocketAddr::V4(address)) = listener.local_addr() else {
        panic!("the listener has an IPv4 address");
    };
    let served_status = Arc::clone(&status);
    tokio::spawn(serve(listener, 8, move |_| {
        let status = served_status.load(Ordering::Relaxed);
        async move { Ok::<_, ConnectionDropped>(plain_response(status, "")) }
    }));
    (address, status)
}

impl Fixture {
    /// Starts a fixture; `third_octet` separates the addresses of tests that run concurrently.
    async fn start(third_octet: u8) -> Self {
        let ip = |host| Ipv4Addr::new(127, 250, third_octet, host);
        // The balancers receive packets at the port of the service, so it must be known first.
        let probe = UdpSocket::bind((ip(1), 0)).await.expect("a port is free");
        let port = probe.local_addr().expect("an address").port();
        drop(probe);
        let mut balancers = Vec::new();
        let mut ports = Vec::new();
        for host in [2, 3] {
            let (ready_address, status) = serve_ready(ip(host)).await;
            ports.push(BalancerPort {
                listen_ip: ip(host),
                ready_address,
            });
            balancers.push(Balancer {
                socket: UdpSocket::bind((ip(host), port)).await.expect("free"),
                ip: ip(host),
                status,
            });
        }
        let fabric = FakeFabric::bind(FabricArgs {
            service: vec![SocketAddrV4::new(ip(1), port)],
            balancer: ports,
            upstream_ip: ip(1),
            admin: SocketAddrV4::new(ip(1), 0),
        });
        let caller = UdpSocket::bind((ip(9), 0)).await.expect("a port is free");
        let fixture = Self {
            fabric: fabric.await.expect("the addresses are free"),
            balancers,
            caller,
            client: Client::new(),
        };
        fixture.wait_until_ready(&[true, true]).await;
        fixture
    }

    async fn counts(&self) -> FabricCounts {
        let url = format!("http://{}/admin/counts", self.fabric.admin());
        let sent = self.client.get(url).send().await.expect("a response");
        sent.json().await.expect("the counts are JSON")
    }

    async fn wait_until(&self, holds: impl Fn(&FabricCounts) -> bool) {
        for _ in 0..MAX_POLLS {
            if holds(&self.counts().await) {
                return;
            }
            time::sleep(POLL_INTERVAL).await;
        }
        panic!("timed out; the last counts are: {:?}", self.counts().await);
    }

    async fn wait_until_ready(&self, ready: &[bool]) {
        self.wait_until(|counts| {
            let mut both = self.balancers.iter().zip(ready);
            both.all(|(balancer, ready)| {
                let counts = counts.balancers.get(&balancer.ip);
                counts.is_some_and(|counts| counts.ready == Some(*ready))
            })
        })
        .await;
    }

    async fn set_fault(&self, fault: &str) {
        let url = format!("http://{}/admin/fault/{fault}", self.fabric.admin());
        let sent = self.client.post(url).send().await.expect("a response");
        assert_eq!(sent.status(), 200);
    }

    async fn send(&self, packets: usize) {
        for _ in 0..packets {
            let service = self.fabric.services()[0];
            self.caller.send_to(b"packet", service).await.expect("sent");
        }
    }

    fn sent(&self, counts: &FabricCounts) -> Vec<u64> {
        let balancers = self.balancers.iter();
        balancers
            .map(|balancer| counts.balancers[&balancer.ip].sent)
            .collect()
    }
}

async fn receive(socket: &UdpSocket) -> SocketAddr {
    let mut buffer = [0; 100];
    let received = time::timeout(RECEIVE_TIMEOUT, socket.recv_from(&mut buffer)).await;
    received
        .expect("a packet arrives")
        .expect("a packet arrives")
        .1
}

#[tokio::test]
async fn packets_are_sprayed_from_one_address() {
    let fixture = Fixture::start(1).await;
    fixture.send(4).await;
    let mut sources = Vec::new();
    for balancer in &fixture.balancers {
        sources.push(receive(&balancer.socket).await);
        sources.push(receive(&balancer.socket).await);
    }
    assert!(sources.iter().all(|source| *source == sources[0]));
}

#[tokio::test]
async fn replies_come_from_the_address_of_the_service() {
    let fixture = Fixture::start(2).await;
    fixture.send(2).await;
    for balancer in &fixture.balancers {
        let upstream = receive(&balancer.socket).await;
        balancer
            .socket
            .send_to(b"answer", upstream)
            .await
            .expect("sent");
        assert_eq!(receive(&fixture.caller).await, fixture.fabric.services()[0]);
    }
}

#[tokio::test]
async fn balancer_that_is_not_ready_gets_no_packets() {
    let fixture = Fixture::start(3).await;
    fixture.balancers[0].status.store(503, Ordering::Relaxed);
    fixture.wait_until_ready(&[false, true]).await;
    fixture.send(4).await;
    fixture
        .wait_until(|counts| fixture.sent(counts) == [0, 4])
        .await;
}

#[tokio::test]
async fn packets_without_a_ready_balancer_are_counted() {
    let fixture = Fixture::start(4).await;
    for balancer in &fixture.balancers {
        balancer.status.store(503, Ordering::Relaxed);
    }
    fixture.wait_until_ready(&[false, false]).await;
    fixture.send(3).await;
    fixture
        .wait_until(|counts| counts.without_balancer == 3)
        .await;
}

#[rstest]
#[case::cut(5, "cut/127.250.5.2", 2)]
#[case::silence(6, "silence", 4)]
#[case::lose(7, "lose/1000", 4)]
#[tokio::test]
async fn fault_loses_packets(#[case] third_octet: u8, #[case] fault: &str, #[case] lost: u64) {
    let fixture = Fixture::start(third_octet).await;
    let caller = fixture.caller.local_addr().expect("an address");
    let fault = match fault {
        "silence" => format!("silence/{caller}"),
        other => other.to_owned(),
    };
    fixture.set_fault(&fault).await;
    fixture.send(4).await;
    fixture
        .wait_until(|counts| counts.lost_by_fault == lost)
        .await;
}

#[tokio::test]
async fn duplicated_packets_arrive_twice() {
    let fixture = Fixture::start(8).await;
    fixture.set_fault("duplicate/1000").await;
    fixture.send(2).await;
    for balancer in &fixture.balancers {
        receive(&balancer.socket).await;
        receive(&balancer.socket).await;
    }
}

#[tokio::test]
async fn unknown_fault_is_refused() {
    let fixture = Fixture::start(9).await;
    let url = format!("http://{}/admin/fault/melt/1", fixture.fabric.admin());
    let sent = fixture.client.post(url).send().await.expect("a response");
    assert_eq!(sent.status(), 400);
}
