//! The processes of a run, their addresses and how to start them.

use super::fleet::{Fleet, FleetError, Program};
use basilstep_core::crypto::encode_hex;
use std::net::{Ipv4Addr, SocketAddrV4};

const STORE_PORT: u16 = 8_500;
const FABRIC_PORT: u16 = 9_300;
const BALANCER_PORT: u16 = 9_100;
const READY_PORT: u16 = 9_101;
const AGENT_PORT: u16 = 9_200;
const TARGET_PORT: u16 = 8_080;

const STORE_HOST: u8 = 1;
const FABRIC_HOST: u8 = 2;
const CALLER_HOST: u8 = 3;
const FIRST_BALANCER_HOST: u8 = 10;
const FIRST_TARGET_HOST: u8 = 50;
const FIRST_SERVICE_HOST: u8 = 200;

/// The processes of a run and their addresses.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// The names of the failure domains.
    pub domains: Vec<String>,
    /// The services.
    pub services: Vec<ServicePlan>,
    /// The balancers.
    pub balancers: Vec<BalancerPlan>,
    /// The targets, each with its agent.
    pub targets: Vec<TargetPlan>,
    /// The cluster key that all processes share.
    pub cluster_key: [u8; 32],
    network: Network,
}

/// A service.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// The path of its settings record.
    pub path: String,
    /// The service id in flow tokens.
    pub id: u16,
    /// The address that callers send to.
    pub address: SocketAddrV4,
    /// The number of concurrent requests that each of its targets serves.
    pub slots: u32,
}

/// A balancer.
#[derive(Clone, Debug)]
pub struct BalancerPlan {
    /// The name of its process.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Its IP address.
    pub ip: Ipv4Addr,
    /// The number of packet threads; `None` for the default of the balancer.
    pub threads: Option<u16>,
}

/// A target with its agent.
#[derive(Clone, Debug)]
pub struct TargetPlan {
    /// The name of the target's process.
    pub name: String,
    /// The name of the agent's process.
    pub agent: String,
    /// The path of its service.
    pub service: String,
    /// Its failure domain.
    pub domain: String,
    /// The IP address that it shares with its agent.
    pub ip: Ipv4Addr,
    /// The number of concurrent requests that it serves.
    pub slots: u32,
}

/// A /24 of the loopback network reserved for one run.
#[derive(Clone, Copy, Debug)]
struct Network {
    second_octet: u8,
    third_octet: u8,
}

impl Network {
    /// Derives the network from the process id so that concurrent runs do not share addresses.
    const fn of_process(id: u32) -> Self {
        Self {
            second_octet: 64 + (id / 250 % 128) as u8,
            third_octet: (id % 250) as u8,
        }
    }

    const fn ip(self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second_octet, self.third_octet, host)
    }
}

impl FleetPlan {
    /// Creates the plan of the demo: two services and four balancers in three failure domains.
    pub fn demo(process_id: u32) -> Self {
        let network = Network::of_process(process_id);
        let domains: Vec<String> = ["d1", "d2", "d3"].map(str::to_owned).into();
        let mut plan = Self {
            services: vec![
                ServicePlan::new(network, 0, "teams/hanbit/services/pricing", 9),
                ServicePlan::new(network, 1, "teams/cyd/services/seats", 2),
            ],
            balancers: Vec::new(),
            targets: Vec::new(),
            cluster_key: rand::random(),
            domains,
            network,
        };
        for number in 0..4 {
            plan.add_balancer(number);
        }
        for service in 0..plan.services.len() {
            for number in 0..6 {
                plan.add_target(service, number);
            }
        }
        plan
    }

    fn add_balancer(&mut self, number: usize) {
        self.balancers.push(BalancerPlan {
            name: format!("balancer-{}", number + 1),
            domain: self.domains[number % self.domains.len()].clone(),
            ip: self.network.ip(FIRST_BALANCER_HOST + number as u8),
            threads: None,
        });
    }

    fn add_target(&mut self, service: usize, number: usize) {
        let host = FIRST_TARGET_HOST + self.targets.len() as u8;
        let service = &self.services[service];
        let service_name = service.name();
        self.targets.push(TargetPlan {
            name: format!("target-{service_name}-{}", number + 1),
            agent: format!("agent-{service_name}-{}", number + 1),
            service: service.path.clone(),
            domain: self.domains[number % self.domains.len()].clone(),
            ip: self.network.ip(host),
            slots: service.slots,
        });
    }

    /// Returns the address of the store.
    pub const fn store_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.network.ip(STORE_HOST), STORE_PORT)
    }

    /// Returns the admin address of the fabric.
    pub const fn fabric_admin_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.network.ip(FABRIC_HOST), FABRIC_PORT)
    }

    /// Returns the local IP address of callers.
    pub const fn caller_ip(&self) -> Ipv4Addr {
        self.network.ip(CALLER_HOST)
    }

    /// Returns the targets of a failure domain.
    pub fn targets_in<'a>(&'a self, domain: &'a str) -> impl Iterator<Item = &'a TargetPlan> {
        self.targets
            .iter()
            .filter(move |target| target.domain == domain)
    }

    /// Starts the store.
    ///
    /// # Errors
    ///
    /// Returns [`FleetError`] when it cannot be started.
    pub fn start_store(&self, fleet: &mut Fleet) -> Result<(), FleetError> {
        let listen = self.store_address().to_string();
        fleet.spawn(
            "store",
            Program::Bench,
            &strings(&["store", "--listen", &listen]),
        )
    }

    /// Starts the fabric.
    ///
    /// # Errors
    ///
    /// Returns [`FleetError`] when it cannot be started.
    pub fn start_fabric(&self, fleet: &mut Fleet) -> Result<(), FleetError> {
        let ip = self.network.ip(FABRIC_HOST).to_string();
        let admin = self.fabric_admin_address().to_string();
        let mut args = strings(&["fabric", "--upstream-ip", &ip, "--admin", &admin]);
        for service in &self.services {
            args.extend(strings(&["--service", &service.address.to_string()]));
        }
        for balancer in &self.balancers {
            let port = format!("{}={}", balancer.ip, balancer.ready_address());
            args.extend(strings(&["--balancer", &port]));
        }
        fleet.spawn("fabric", Program::Bench, &args)
    }

    /// Starts a balancer.
    ///
    /// # Errors
    ///
    /// Returns [`FleetError`] when it cannot be started.
    pub fn start_balancer(
        &self,
        fleet: &mut Fleet,
        balancer: &BalancerPlan,
    ) -> Result<(), FleetError> {
        let address = balancer.address().to_string();
        let ip = balancer.ip.to_string();
        let ready = balancer.ready_address().to_string();
        let mut args = strings(&["--address", &address, "--listen-ip", &ip]);
        args.extend(strings(&["--ready-address", &ready]));
        if let Some(threads) = balancer.threads {
            args.extend(strings(&["--threads", &threads.to_string()]));
        }
        args.extend(self.common_args(&balancer.domain));
        fleet.spawn(&balancer.name, Program::Balancer, &args)
    }

    /// Starts a target without its agent.
    ///
    /// # Errors
    ///
    /// Returns [`FleetError`] when it cannot be started.
    pub fn start_target(&self, fleet: &mut Fleet, target: &TargetPlan) -> Result<(), FleetError> {
        let listen = target.address().to_string();
        let slots = target.slots.to_string();
        let mut args = strings(&["target", "--listen", &listen, "--service", &target.service]);
        args.extend(strings(&["--slots", &slots]));
        let journal = fleet
            .logs()
            .join(format!("{}-{}.runs", target.name, std::process::id()));
        args.extend(strings(&["--journal", &journal.to_string_lossy()]));
        fleet.spawn(&target.name, Program::Bench, &args)
    }

    /// Starts the agent of a target.
    ///
    /// # Errors
    ///
    /// Returns [`FleetError`] when it cannot be started.
    pub fn start_agent(&self, fleet: &mut Fleet, target: &TargetPlan) -> Result<(), FleetError> {
        let address = target.agent_address().to_string();
        let target_address = target.address().to_string();
        let mut args = strings(&["--address", &address, "--service", &target.service]);
        args.extend(strings(&["--target", &target_address]));
        args.extend(self.common_args(&target.domain));
        fleet.spawn(&target.agent, Program::Agent, &args)
    }

    fn common_args(&self, domain: &str) -> Vec<String> {
        let store = format!("http://{}", self.store_address());
        let key = encode_hex(&self.cluster_key);
        let seeds = self.balancers.iter().map(BalancerPlan::address);
        let seeds: Vec<String> = seeds.map(|seed| seed.to_string()).collect();
        let mut args = strings(&["--domain", domain, "--store", &store, "--cluster-key", &key]);
        args.extend(strings(&["--seeds", &seeds.join(",")]));
        args
    }
}

impl ServicePlan {
    fn new(network: Network, number: u8, path: &str, slots: u32) -> Self {
        let ip = network.ip(FIRST_SERVICE_HOST + number);
        Self {
            path: path.to_owned(),
            id: u16::from(number) + 1,
            address: SocketAddrV4::new(ip, 7_001 + u16::from(number)),
            slots,
        }
    }

    /// Returns the last segment of the path.
    pub fn name(&self) -> &str {
        self.path.rsplit('/').next().unwrap_or_default()
    }
}

impl BalancerPlan {
    /// Returns the address of its carrier (UDP) and control (TCP) ports.
    pub const fn address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, BALANCER_PORT)
    }

    /// Returns the address of its readiness endpoint.
    pub const fn ready_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, READY_PORT)
    }
}

impl TargetPlan {
    /// Returns the address of the target.
    pub const fn address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, TARGET_PORT)
    }

    /// Returns the address of its agent.
    pub const fn agent_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, AGENT_PORT)
    }
}

fn strings(args: &[&str]) -> Vec<String> {
    args.iter().map(|arg| (*arg).to_owned()).collect()
}
