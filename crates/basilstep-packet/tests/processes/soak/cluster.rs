//! The machines of a soak test: their processes, their targets and the proxies in front of them.

use super::{configuration::Configuration, invariants::Invariants, routers::BalancerEndpoint};
use crate::support::{
    fleet::{AGENT, BALANCER, Fleet, Process, STORE, STORE_PROXY},
    proxy::Proxy,
    target::{Target, TargetConfig},
};
use serde_json::{Value, json};
use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};
use tokio::{sync::Mutex, time::Instant};

pub const BALANCERS: u8 = 3;
pub const AGENTS: u8 = 6;
pub const SERVICES: [&str; 2] = ["quotes", "offers"];
pub const ZONES: [&str; 2] = ["east", "west"];

/// The message that a process logs once it handles signals.
const STARTED: &str = "started";

const FIRST_AGENT: u8 = 11;

/// Added to the last octet of an agent's address for the proxy between it and its target.
const HEARTBEAT_PROXY: u8 = 130;

/// A machine with one process.
///
/// The lock on the process prevents two faults from affecting it at the same time.
#[derive(Debug)]
pub struct Machine {
    pub number: u8,
    pub zone: &'static str,
    program: &'static str,
    extra_settings: Value,
    pub process: Mutex<Process>,
    pub store: Proxy,
    pub agent_target: Option<AgentTarget>,
    /// When the process or its connection to the store was last disturbed.
    disturbed: std::sync::Mutex<Instant>,
}

impl Machine {
    pub fn record_disturbance(&self) {
        *self.disturbed.lock().unwrap() = Instant::now();
    }

    /// Returns whether the machine has not been disturbed since `since`.
    pub fn is_calm_since(&self, since: Instant) -> bool {
        *self.disturbed.lock().unwrap() < since
    }
}

/// The target on the same VM as an agent.
#[derive(Debug)]
pub struct AgentTarget {
    pub service: usize,
    pub heartbeats: Proxy,
    pub running: Mutex<RunningTarget>,
}

/// The machine, service and zone of a target.
#[derive(Clone, Copy, Debug)]
struct TargetSlot {
    number: u8,
    service: usize,
    zone: &'static str,
}

/// A target and the number of its current run; each run is an incarnation.
#[derive(Debug)]
pub struct RunningTarget {
    pub run: u32,
    pub target: Target,
}

/// All machines and the store.
#[derive(Debug)]
pub struct Cluster {
    pub fleet: Fleet,
    pub invariants: Arc<Invariants>,
    pub balancers: Vec<Machine>,
    pub agents: Vec<Machine>,
    pub configuration: Configuration,
    /// One lock per zone, held while a fault keeps the zone out.
    pub operators: [Mutex<()>; ZONES.len()],
}

/// The service address of the route that operators lead from service to service.
pub const MOVED_ENTRY: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 450);

/// Returns the service address of a service.
pub fn entry(service: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 440 + service as u16)
}

impl Cluster {
    pub async fn start(name: &str) -> Self {
        let mut fleet = Fleet::start(name).await;
        fleet.balancer_arguments = &["--set", "hedging.budget_percent=20"];
        let configuration = Configuration::write_first(&fleet);
        let invariants = Arc::new(Invariants::default());
        let mut balancers = Vec::new();
        for number in 1..=BALANCERS {
            balancers.push(start_balancer(&fleet, number).await);
        }
        let mut agents = Vec::new();
        for index in 0..AGENTS {
            agents.push(start_agent(&fleet, index, &invariants).await);
        }
        Self {
            fleet,
            invariants,
            balancers,
            agents,
            configuration,
            operators: Default::default(),
        }
    }

    pub fn balancer_endpoints(&self) -> Vec<BalancerEndpoint> {
        self.balancers
            .iter()
            .map(|machine| BalancerEndpoint {
                packets: self.fleet.address(machine.number, self.fleet.ports.packets),
                ready: self.fleet.address(machine.number, self.fleet.ports.ready),
            })
            .collect()
    }

    /// Records that a process is stopped or paused, or that it continues.
    pub fn disturb(&self, machine: &Machine) {
        machine.record_disturbance();
        self.invariants.record_disturbance();
    }

    /// Restarts the process of a machine and waits until it handles signals.
    pub async fn launch(&self, machine: &Machine) -> Process {
        let number = machine.number;
        let starts = self.fleet.count_in_log(number, STARTED);
        let process = self
            .fleet
            .launch(machine.program, number, &machine.extra_settings);
        self.fleet.await_log(number, STARTED, starts + 1).await;
        process
    }

    /// Starts a new run of a target.
    pub async fn start_target(&self, machine: &Machine, run: u32) -> Option<RunningTarget> {
        let agent_target = machine.agent_target.as_ref()?;
        let slot = TargetSlot {
            number: machine.number,
            service: agent_target.service,
            zone: machine.zone,
        };
        Some(start_target(&self.fleet, slot, run, &self.invariants).await)
    }
}

async fn start_balancer(fleet: &Fleet, number: u8) -> Machine {
    let zone = ZONES[usize::from(number) % ZONES.len()];
    start_machine(fleet, number, zone, BALANCER, json!({})).await
}

async fn start_agent(fleet: &Fleet, index: u8, invariants: &Arc<Invariants>) -> Machine {
    let slot = TargetSlot {
        number: FIRST_AGENT + index,
        service: usize::from(index) % SERVICES.len(),
        zone: ZONES[usize::from(index / 2) % ZONES.len()],
    };
    let TargetSlot {
        number,
        service,
        zone,
    } = slot;
    let extra_settings = json!({
        "Service": SERVICES[service],
        "app": fleet.address(number, fleet.ports.target).to_string(),
    });
    let heartbeats = Proxy::spawn(
        fleet.address(number + HEARTBEAT_PROXY, fleet.ports.control),
        fleet.address(number, fleet.ports.control),
    )
    .await;
    let mut machine = start_machine(fleet, number, zone, AGENT, extra_settings).await;
    let running = start_target(fleet, slot, 1, invariants).await;
    machine.agent_target = Some(AgentTarget {
        service,
        heartbeats,
        running: Mutex::new(running),
    });
    machine
}

async fn start_machine(
    fleet: &Fleet,
    number: u8,
    zone: &'static str,
    program: &'static str,
    mut extra_settings: Value,
) -> Machine {
    let proxy = fleet.address(number + STORE_PROXY, fleet.ports.store);
    let store = Proxy::spawn(proxy, fleet.address(STORE, fleet.ports.store)).await;
    extra_settings["Zone"] = json!(zone);
    extra_settings["Zones"] = json!({"east": "r1", "west": "r1"});
    extra_settings["Contracts"] = json!(["base", "health"]);
    extra_settings["platform"] = json!({"Address": proxy.to_string(), "TtlMinMs": 1_000});
    Machine {
        number,
        zone,
        program,
        process: Mutex::new(fleet.launch(program, number, &extra_settings)),
        extra_settings,
        store,
        agent_target: None,
        disturbed: std::sync::Mutex::new(Instant::now()),
    }
}

async fn start_target(
    fleet: &Fleet,
    slot: TargetSlot,
    run: u32,
    invariants: &Invariants,
) -> RunningTarget {
    let TargetSlot {
        number,
        service,
        zone,
    } = slot;
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let id = format!("target-{number}");
    invariants.record_run(&id, run);
    let config = TargetConfig {
        id,
        service: SERVICES[service].to_owned(),
        address: fleet.address(number, fleet.ports.target),
        outbound: fleet.address(number, fleet.ports.outbound),
        control: fleet.address(number + HEARTBEAT_PROXY, fleet.ports.control),
        zone: zone.to_owned(),
        run,
        born_ms: since_epoch.as_millis() as u64,
    };
    RunningTarget {
        run,
        target: Target::spawn(config).await,
    }
}
