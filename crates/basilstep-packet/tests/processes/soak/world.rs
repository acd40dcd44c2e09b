//! The machines of a soak: their processes, their targets, and the proxies before them.

use super::{promises::Promises, proxy::Proxy, routers::Door};
use crate::support::{
    fleet::{AGENT, BALANCER, Fleet, Process},
    target::{Target, TargetPlace},
};
use serde_json::{Value, json};
use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};
use tokio::sync::Mutex;

pub const BALANCERS: u8 = 3;
pub const AGENTS: u8 = 6;
pub const SERVICES: [&str; 2] = ["quotes", "offers"];
pub const ZONES: [&str; 2] = ["east", "west"];

/// What a process logs once it handles signals.
const STARTED: &str = "started";

const FIRST_AGENT: u8 = 11;

/// Proxies have the addresses of their machines, and other last numbers.
const STORE_PROXY: u8 = 100;
const PING_PROXY: u8 = 130;

/// A machine whose process is started from outside; the lock keeps two faults of one process apart.
#[derive(Debug)]
pub struct Machine {
    pub number: u8,
    pub zone: &'static str,
    program: &'static str,
    extra: Value,
    pub process: Mutex<Process>,
    pub store: Proxy,
    pub app: Option<App>,
}

/// The target beside an agent.
#[derive(Debug)]
pub struct App {
    pub service: usize,
    pub pings: Proxy,
    pub running: Mutex<Running>,
}

/// Where a target is.
#[derive(Clone, Copy, Debug)]
struct Spot {
    number: u8,
    service: usize,
    zone: &'static str,
}

/// A lifetime of a target.
#[derive(Debug)]
pub struct Running {
    pub run: u32,
    pub target: Target,
}

/// All machines, with what surrounds them.
#[derive(Debug)]
pub struct World {
    pub fleet: Fleet,
    pub promises: Arc<Promises>,
    pub balancers: Vec<Machine>,
    pub agents: Vec<Machine>,
    /// Who takes a zone out, one at a time for each.
    pub operators: [Mutex<()>; ZONES.len()],
}

/// The service address of a service.
pub fn entry(service: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 440 + service as u16)
}

impl World {
    pub async fn start(name: &str) -> Self {
        let fleet = Fleet::start(name).await;
        configure(&fleet, 1);
        let promises = Arc::new(Promises::default());
        let mut balancers = Vec::new();
        for number in 1..=BALANCERS {
            balancers.push(start_balancer(&fleet, number).await);
        }
        let mut agents = Vec::new();
        for index in 0..AGENTS {
            agents.push(start_agent(&fleet, index, &promises).await);
        }
        Self {
            fleet,
            promises,
            balancers,
            agents,
            operators: Default::default(),
        }
    }

    pub fn doors(&self) -> Vec<Door> {
        self.balancers
            .iter()
            .map(|machine| Door {
                packets: self.fleet.address(machine.number, self.fleet.ports.packets),
                ready: self.fleet.address(machine.number, self.fleet.ports.ready),
            })
            .collect()
    }

    /// Starts the process of a machine again, and waits until it handles signals.
    pub async fn launch(&self, machine: &Machine) -> Process {
        let number = machine.number;
        let starts = self.fleet.count_in_log(number, STARTED);
        let process = self.fleet.launch(machine.program, number, &machine.extra);
        self.fleet.await_log(number, STARTED, starts + 1).await;
        process
    }

    /// Starts the next lifetime of a target.
    pub async fn start_target(&self, machine: &Machine, run: u32) -> Option<Running> {
        let app = machine.app.as_ref()?;
        let spot = Spot {
            number: machine.number,
            service: app.service,
            zone: machine.zone,
        };
        Some(start_target(&self.fleet, spot, run, &self.promises).await)
    }
}

/// Writes a configuration with a route for each service; requests to the second may not be repeated.
pub fn configure(fleet: &Fleet, version: u64) {
    let routes: Vec<Value> = SERVICES
        .iter()
        .enumerate()
        .map(|(service, name)| {
            let entry = entry(service);
            json!({"Name": format!("r{service}"), "Hostname": entry.ip().to_string(),
                   "Prefix": format!("/{}/", entry.port()),
                   "Type": if service == 0 { "safe" } else { "unsafe" },
                   "TimeoutMs": 2_500, "Service": name})
        })
        .collect();
    let services: Vec<Value> = SERVICES
        .iter()
        .map(|name| json!({"Name": name, "MaxConnections": 2_000}))
        .collect();
    let config = json!({
        "Version": version, "Routes": routes, "Services": services,
        "Limits": {"IdleTimeoutMs": 15_000},
    });
    fleet.store.put("op/config", Some(&config));
}

async fn start_balancer(fleet: &Fleet, number: u8) -> Machine {
    let zone = ZONES[usize::from(number) % ZONES.len()];
    start_machine(fleet, number, zone, BALANCER, json!({})).await
}

async fn start_agent(fleet: &Fleet, index: u8, promises: &Arc<Promises>) -> Machine {
    let spot = Spot {
        number: FIRST_AGENT + index,
        service: usize::from(index) % SERVICES.len(),
        zone: ZONES[usize::from(index / 2) % ZONES.len()],
    };
    let Spot {
        number,
        service,
        zone,
    } = spot;
    let extra = json!({
        "Service": SERVICES[service],
        "app": fleet.address(number, fleet.ports.target).to_string(),
    });
    let pings = Proxy::spawn(
        fleet.address(number + PING_PROXY, fleet.ports.control),
        fleet.address(number, fleet.ports.control),
    )
    .await;
    let mut machine = start_machine(fleet, number, zone, AGENT, extra).await;
    let running = start_target(fleet, spot, 1, promises).await;
    machine.app = Some(App {
        service,
        pings,
        running: Mutex::new(running),
    });
    machine
}

async fn start_machine(
    fleet: &Fleet,
    number: u8,
    zone: &'static str,
    program: &'static str,
    mut extra: Value,
) -> Machine {
    let proxy = fleet.address(number + STORE_PROXY, fleet.ports.store);
    let store = Proxy::spawn(proxy, fleet.address(250, fleet.ports.store)).await;
    extra["Zone"] = json!(zone);
    extra["Zones"] = json!({"east": "r1", "west": "r1"});
    extra["platform"] = json!({"Address": proxy.to_string(), "TtlMinMs": 1_000});
    Machine {
        number,
        zone,
        program,
        process: Mutex::new(fleet.launch(program, number, &extra)),
        extra,
        store,
        app: None,
    }
}

async fn start_target(fleet: &Fleet, spot: Spot, run: u32, promises: &Promises) -> Running {
    let Spot {
        number,
        service,
        zone,
    } = spot;
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let id = format!("target-{number}");
    promises.note_run(&id, run);
    let place = TargetPlace {
        id,
        service: SERVICES[service].to_owned(),
        address: fleet.address(number, fleet.ports.target),
        outbound: fleet.address(number, fleet.ports.outbound),
        control: fleet.address(number + PING_PROXY, fleet.ports.control),
        zone: zone.to_owned(),
        run,
        born_ms: since_epoch.as_millis() as u64,
    };
    Running {
        run,
        target: Target::spawn(place).await,
    }
}
