//! Steps that send input which every process must reject: invalid datagrams and invalid records.

use super::{
    plan::{BalancerPlan, TargetPlan},
    run::{Demo, DemoError},
};
use basilstep_core::{
    address::{BalancerAddress, ServiceId},
    crypto::{ClusterKey, SipHashKey},
    wire::{CarrierHeader, CarrierPurpose, MEMBERSHIP_VERSION, encode_frame},
};
use basilstep_node::control::ControlClient;
use quinn::Endpoint;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustls::pki_types::CertificateDer;
use serde_json::Value;
use std::{
    collections::BTreeMap,
    fs,
    net::{SocketAddr, SocketAddrV4},
    time::Duration,
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpStream, UdpSocket},
    time,
};

const SEED: u64 = 1;
const DATAGRAMS: usize = 20_000;
const DATAGRAMS_PER_SOCKET: usize = 1_000;
const DATAGRAMS_PER_PAUSE: usize = 20;
const SEND_PAUSE: Duration = Duration::from_millis(2);
const DATAGRAM_KINDS: usize = 5;
const MAX_DATAGRAM_BYTES: usize = 1_400;
const TCP_ROUNDS: usize = 10;
const TCP_GARBAGE_BYTES: usize = 4_096;
const TCP_TIMEOUT: Duration = Duration::from_millis(500);
const CAPTURE_TIMEOUT: Duration = Duration::from_secs(2);
const SETTLE_TIME: Duration = Duration::from_secs(5);
const LATE_CALLERS_PER_SERVICE: usize = 10;
const BAD_RECORD: &str = "{\"address\": 7, \"id\": ";

/// Generates datagrams that no process accepts as valid.
struct InvalidDatagrams {
    rng: ChaCha8Rng,
    initial: Vec<u8>,
    foreign_key: SipHashKey,
    balancer: SocketAddrV4,
}

impl InvalidDatagrams {
    fn datagram(&mut self, number: usize) -> Vec<u8> {
        match number % DATAGRAM_KINDS {
            0 => self.random_bytes(),
            1 => self.truncated_initial(),
            2 => self.initial.clone(),
            3 => self.foreign_frame(),
            _ => self.foreign_membership_message(),
        }
    }

    fn random_bytes(&mut self) -> Vec<u8> {
        let length = self.rng.random_range(0..MAX_DATAGRAM_BYTES);
        (0..length).map(|_| self.rng.random()).collect()
    }

    fn truncated_initial(&mut self) -> Vec<u8> {
        let length = self.rng.random_range(0..self.initial.len());
        self.initial[..length].to_vec()
    }

    /// Returns a frame authenticated with the key of another cluster.
    fn foreign_frame(&self) -> Vec<u8> {
        let header = CarrierHeader {
            service: ServiceId(1),
            caller: SocketAddr::V4(self.balancer),
            balancer: BalancerAddress(self.balancer),
            settings_version: u64::MAX,
            purpose: CarrierPurpose::Assign,
        };
        let mut frame = vec![0; MAX_DATAGRAM_BYTES + self.initial.len()];
        let length = encode_frame(&self.foreign_key, &header, &self.initial, &mut frame);
        frame.truncate(length.unwrap_or_default());
        frame
    }

    fn foreign_membership_message(&mut self) -> Vec<u8> {
        let mut message = self.random_bytes();
        message.insert(0, MEMBERSHIP_VERSION);
        message
    }
}

impl Demo {
    /// Sends invalid datagrams to every UDP port and garbage to every control port.
    pub(super) async fn send_invalid_input(
        &mut self,
        root: &CertificateDer<'static>,
    ) -> Result<(), DemoError> {
        let names = self.process_names();
        let codes_before = self.total_code_counts().await;
        let memory_before = self.memory_kb(&names);
        self.log_progress(&format!("sending {DATAGRAMS} invalid datagrams"));
        self.send_invalid_datagrams(root).await?;
        self.log_progress("sending garbage to the control ports");
        for address in self.control_ports() {
            send_garbage(address).await;
        }
        time::sleep(SETTLE_TIME).await;
        let codes_after = self.total_code_counts().await;
        let memory_after = self.memory_kb(&names);
        let growths = names.iter().map(|name| {
            let before = memory_before.get(name).copied().unwrap_or_default();
            let after = memory_after.get(name).copied().unwrap_or_default();
            after.saturating_sub(before)
        });
        self.result.most_memory_growth_kb = growths.max().unwrap_or_default();
        let without_new_codes = codes_before
            .iter()
            .filter(|(address, before)| codes_after.get(*address).unwrap_or(&0) <= *before);
        self.result.processes_that_count_no_drop = without_new_codes.count() as u64;
        Ok(())
    }

    /// Overwrites the record of each service with one that cannot be parsed.
    pub(super) async fn write_bad_records(
        &mut self,
        root: &CertificateDer<'static>,
    ) -> Result<(), DemoError> {
        self.log_progress("overwriting the record of each service with an invalid one");
        for service in &self.plan.services {
            self.writer.put_raw(&service.path, BAD_RECORD).await?;
        }
        time::sleep(SETTLE_TIME).await;
        let opened_before = self.recorder.counts().flows_opened;
        self.add_callers(LATE_CALLERS_PER_SERVICE, root).await;
        time::sleep(SETTLE_TIME).await;
        let opened = self.recorder.counts().flows_opened - opened_before;
        self.result.flows_opened_on_good_record = Some(opened);
        let client = self.control_client();
        for balancer in &self.plan.balancers {
            let dump = read_dump(&client, balancer.address()).await;
            let rejections = &dump["control"]["rejections"];
            let shown = self
                .plan
                .services
                .iter()
                .all(|service| rejections.get(&service.path).is_some());
            self.result.balancers_that_hide_a_bad_record += u64::from(!shown);
        }
        Ok(())
    }

    async fn send_invalid_datagrams(
        &self,
        root: &CertificateDer<'static>,
    ) -> Result<(), DemoError> {
        let mut datagrams = InvalidDatagrams {
            rng: ChaCha8Rng::seed_from_u64(SEED),
            initial: self.capture_initial(root).await?,
            foreign_key: SipHashKey([7; 16]),
            balancer: self.plan.balancers[0].address(),
        };
        let ports = self.udp_ports();
        let own = SocketAddr::from((self.plan.caller_ip(), 0));
        let mut socket = UdpSocket::bind(own).await?;
        for number in 0..DATAGRAMS {
            if number % DATAGRAMS_PER_SOCKET == 0 {
                socket = UdpSocket::bind(own).await?;
            }
            if number % DATAGRAMS_PER_PAUSE == 0 {
                time::sleep(SEND_PAUSE).await;
            }
            let port = ports[(number / DATAGRAM_KINDS) % ports.len()];
            socket.send_to(&datagrams.datagram(number), port).await?;
        }
        Ok(())
    }

    /// Returns the first datagram of a flow opened by a QUIC client.
    async fn capture_initial(&self, root: &CertificateDer<'static>) -> Result<Vec<u8>, DemoError> {
        let own = SocketAddr::from((self.plan.caller_ip(), 0));
        let server = UdpSocket::bind(own).await?;
        let client = Endpoint::client(own)?;
        let config = crate::fakes::caller::client_config(root)
            .map_err(|error| std::io::Error::other(error.to_string()))?;
        let connecting = client
            .connect_with(config, server.local_addr()?, "basilstep.test")
            .map_err(std::io::Error::other)?;
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let received = time::timeout(CAPTURE_TIMEOUT, server.recv_from(&mut buffer)).await;
        drop(connecting);
        let (length, _) = received.map_err(std::io::Error::other)??;
        buffer.truncate(length);
        Ok(buffer)
    }

    fn udp_ports(&self) -> Vec<SocketAddrV4> {
        let services = &self.plan.services;
        let balancers = self.plan.balancers.iter();
        let at_balancers = balancers.flat_map(|balancer| {
            let ports = services
                .iter()
                .map(|service| SocketAddrV4::new(balancer.ip, service.address.port()));
            ports.chain([balancer.address()])
        });
        let agents = self.plan.targets.iter();
        let at_agents = agents.map(TargetPlan::agent_address);
        at_balancers.chain(at_agents).collect()
    }

    fn control_ports(&self) -> Vec<SocketAddrV4> {
        let balancers = self.plan.balancers.iter();
        let at_balancers =
            balancers.flat_map(|balancer| [balancer.address(), balancer.ready_address()]);
        let agents = self.plan.targets.iter();
        let at_agents = agents.map(TargetPlan::agent_address);
        at_balancers.chain(at_agents).collect()
    }

    fn process_names(&self) -> Vec<String> {
        let balancers = self.plan.balancers.iter();
        let agents = self.plan.targets.iter();
        balancers
            .map(|balancer| balancer.name.clone())
            .chain(agents.map(|target| target.agent.clone()))
            .collect()
    }

    fn memory_kb(&self, names: &[String]) -> BTreeMap<String, u64> {
        let ids = names
            .iter()
            .filter_map(|name| Some((name, self.fleet.id(name)?)));
        ids.map(|(name, id)| (name.clone(), resident_kb(id)))
            .collect()
    }

    fn control_client(&self) -> ControlClient {
        ControlClient::new(ClusterKey::new(self.plan.cluster_key).derive("control"))
    }

    /// Returns the sum of all result-code counts of each process.
    async fn total_code_counts(&self) -> BTreeMap<SocketAddrV4, u64> {
        let client = self.control_client();
        let balancers = self.plan.balancers.iter();
        let agents = self.plan.targets.iter();
        let addresses = balancers
            .map(BalancerPlan::address)
            .chain(agents.map(TargetPlan::agent_address));
        let mut counted = BTreeMap::new();
        for address in addresses {
            let dump = read_dump(&client, address).await;
            let codes = dump["codes"].as_object();
            let counts = codes.map(|codes| codes.values().filter_map(Value::as_u64).sum());
            counted.insert(address, counts.unwrap_or_default());
        }
        counted
    }
}

async fn read_dump(client: &ControlClient, address: SocketAddrV4) -> Value {
    let text = client.get(address, "/dump").await.unwrap_or_default();
    serde_json::from_slice(&text).unwrap_or_default()
}

async fn send_garbage(address: SocketAddrV4) {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    for round in 0..TCP_ROUNDS {
        let mut garbage: Vec<u8> = (0..TCP_GARBAGE_BYTES).map(|_| rng.random()).collect();
        if round % 2 == 0 {
            garbage.splice(0..0, b"GET /dump HTTP/1.1\r\nhost: x\r\n".iter().copied());
        }
        let sent = time::timeout(TCP_TIMEOUT, async {
            let mut stream = TcpStream::connect(address).await?;
            stream.write_all(&garbage).await
        });
        // The process may close the connection before it has read everything.
        drop(sent.await);
    }
}

fn resident_kb(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let lines = status.lines();
    let mut values = lines.filter_map(|line| line.strip_prefix("VmRSS:"));
    let value = values
        .next()
        .and_then(|value| value.split_whitespace().next());
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or_default()
}
