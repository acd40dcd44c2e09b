//! The project's own processes, started with the commands of the deploy file, and their settings.

use crate::{
    endpoint::{Config, Endpoint},
    record::Record,
    requester::{Node, Requester, Routers},
    store::Store,
};
use std::{
    collections::BTreeMap,
    fs,
    net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

pub const ZONE: &str = "gangnam";
const STORE: u8 = 250;
const METRICS: u16 = 9_464;

#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub packets: u16,
    pub outbound: u16,
    pub app: u16,
    pub control: u16,
    pub ready: u16,
    pub internal: u16,
    pub store: u16,
}

#[derive(Debug)]
pub struct Fleet {
    folder: PathBuf,
    network: [u8; 2],
    pub ports: Ports,
    pub store: Store,
    pub record: Record,
    commands: BTreeMap<String, Vec<String>>,
    children: BTreeMap<u8, Child>,
}

impl Fleet {
    /// Starts the store; the programs come later.
    pub fn start(record: &Record) -> Self {
        let (network, ports) = free_network();
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder can be made");
        let ip = |number| Ipv4Addr::new(127, network[0], network[1], number);
        let store = Store::start(SocketAddrV4::new(ip(STORE), ports.store));
        Self {
            folder,
            network,
            ports,
            store,
            record: record.clone(),
            commands: commands(),
            children: BTreeMap::new(),
        }
    }

    pub fn ip(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network[0], self.network[1], number)
    }

    pub fn at(&self, number: u8, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(number), port)
    }

    /// The address of the route in the configuration.
    pub fn route(&self) -> SocketAddrV4 {
        self.at(230, 8_443)
    }

    /// Writes the configuration with one route.
    pub fn configure(&self, version: u64, kind: &str, service: &str) {
        let route = self.route();
        let config = format!(
            "{{\"Version\":{version},\"Routes\":[{{\"Name\":\"r-a3hwrr6\",\"Hostname\":\"{}\",\"Prefix\":\"/{}/\",\"Type\":\"{kind}\",\"TimeoutMs\":2500,\"TargetLatencyMs\":250,\"Priority\":2,\"Service\":\"{service}\",\"MaxAttempts\":2}}],\"Services\":[{{\"Name\":\"{service}\",\"HealthPath\":\"/health\",\"MaxConnections\":2000,\"Protocol\":\"h1\",\"Tls\":false,\"WarmupS\":2.0,\"WarmupPerS\":0}}],\"Limits\":{{\"IdleTimeoutMs\":15000}}}}",
            route.ip(),
            route.port()
        );
        self.store.put("op/config", Some(&config));
        self.record
            .line(format!("operator: configuration {version} is acknowledged"));
    }

    pub fn start_balancer(&mut self, number: u8) {
        self.spawn("balancer", number, "");
    }

    pub fn start_agent(&mut self, number: u8, service: &str) {
        let extra = format!(
            "Service: \"{service}\"\napp: \"{}\"\n",
            self.at(number, self.ports.app)
        );
        self.spawn("agent", number, &extra);
    }

    fn spawn(&mut self, role: &str, number: u8, extra: &str) {
        let settings = self.folder.join(format!("settings-{number}.yaml"));
        fs::write(&settings, self.settings(role, number, extra))
            .expect("the settings can be written");
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("log-{number}")))
            .expect("the log can be written");
        let words = &self.commands[role];
        let child = Command::new(&words[0])
            .args(&words[1..])
            .env("BASILSTEP_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn();
        let Ok(child) = child else {
            println!(
                "{} does not start; was the deploy file's build run?",
                words[0]
            );
            let numbers: Vec<u8> = self.children.keys().copied().collect();
            self.kill(&numbers);
            std::process::exit(2);
        };
        self.record.line(format!(
            "platform: starts {role} {number}, process {}",
            child.id()
        ));
        self.children.insert(number, child);
    }

    /// Sends SIGTERM to a process and waits for its end; returns whether it ended within the grace.
    pub fn stop(&mut self, number: u8) -> bool {
        self.signal(number, "TERM");
        self.await_end(number)
    }

    /// Waits for the end of a process that has got SIGTERM; returns whether it ended within the grace.
    pub fn await_end(&mut self, number: u8) -> bool {
        let until = Instant::now() + Duration::from_secs(6);
        let Some(child) = self.children.get_mut(&number) else {
            return false;
        };
        while Instant::now() < until {
            if matches!(child.try_wait(), Ok(Some(_))) {
                self.children.remove(&number);
                self.record
                    .line(format!("platform: process {number} has ended"));
                return true;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        false
    }

    pub fn signal(&self, number: u8, signal: &str) {
        let Some(child) = self.children.get(&number) else {
            return;
        };
        self.record
            .line(format!("platform: SIG{signal} to process {number}"));
        let _ = Command::new("kill")
            .args(["-s", signal, &child.id().to_string()])
            .status();
    }

    /// Kills processes at the same moment.
    pub fn kill(&mut self, numbers: &[u8]) {
        for number in numbers {
            if let Some(child) = self.children.get_mut(number) {
                let _ = child.kill();
            }
            self.record
                .line(format!("platform: SIGKILL to process {number}"));
        }
        for number in numbers {
            if let Some(mut child) = self.children.remove(number) {
                let _ = child.wait();
            }
        }
    }

    /// Returns the processes that have ended by themselves.
    pub fn ended(&mut self) -> Vec<u8> {
        self.children
            .iter_mut()
            .filter_map(|(number, child)| {
                matches!(child.try_wait(), Ok(Some(_))).then_some(*number)
            })
            .collect()
    }

    pub fn endpoint(&self, number: u8, service: &str) -> Config {
        Config {
            name: format!("endpoint {number}"),
            id: format!("i-{:08x}", u32::from(number) * 0x0101_0101),
            service: service.to_owned(),
            zone: ZONE.to_owned(),
            address: self.at(number, self.ports.app),
            outbound: self.at(number, self.ports.outbound),
            control: self.at(number, self.ports.control),
            first_sequence: 1,
            clock_ahead_ms: 0,
            work: Duration::from_millis(20),
        }
    }

    pub fn start_endpoint(&self, number: u8, service: &str) -> Endpoint {
        Endpoint::start(self.endpoint(number, service), &self.record)
    }

    pub fn routers(&self, balancers: &[u8]) -> Routers {
        let nodes = balancers.iter().map(|number| Node {
            name: format!("balancer {number}"),
            packets: self.at(*number, self.ports.packets),
            ready: self.at(*number, self.ports.ready),
        });
        Routers::start(nodes.collect(), &self.record)
    }

    pub fn requester(&self, number: u8, routers: &Routers) -> Requester {
        Requester::start(self.ip(number), self.ports.packets, routers, &self.record)
    }

    fn settings(&self, role: &str, number: u8, extra: &str) -> String {
        let at = |port| self.at(number, port);
        let ports = &self.ports;
        let (class, serves, listen) = if role == "balancer" {
            ("front", "  - \"front\"\n  - \"control\"\n", String::new())
        } else {
            (
                "side",
                "  - \"side\"\n",
                format!("  outbound: \"{}\"\n", at(ports.outbound)),
            )
        };
        format!(
            "Node: \"{class}-{ZONE}-{number}\"\nRole: \"{role}\"\nMachineClass: \"{class}\"\nServes:\n{serves}Ip: \"{}\"\nZone: \"{ZONE}\"\nRegion: \"kr-central\"\nZones:\n  gangnam: \"kr-central\"\n  guro: \"kr-central\"\n  bundang: \"kr-central\"\nListen:\n  DatagramAddr: \"{}\"\n{listen}  Ready: \"{}\"\n  Control: \"{}\"\nInternalPorts:\n  - {}\n  - {}\nSeeds:\n  - \"{}\"\n  - \"{}\"\nBootstrap: true\nFaultCounted: false\nLimits:\n  CpuShare: 0.25\n  Cores: 1\n  MemoryMb: 260\n  MaxFds: 4100\n  LinkMbps: 1000.0\n  DiskMb: 0\nDataDir: null\nDiscovery: \"local\"\nEntry: \"announce\"\nHeartbeatMs: 1200\nContracts: [\"base\", \"drain\", \"config\", \"cost\", \"recover\", \"flows\", \"places\", \"platform\"]\nFaultTolerance:\n  Machines: 2\n  Zones: 1\n  Regions: 0\nBounds:\n  SeedLagS: 3\n  ReuseAfterS: 2\n  ContactMs: 4000\n  AckMs: 5000\n  CatchUpS: 4\n  DrainMs: 3000\n  GraceS: 6\n  LossSlackMs: 200\n  ConfigApplyMs: 3000\n  RollbackSlackMs: 250\n  OuterMs: 12000\n  WarmupOverage: 1.5\n  WarmupSlack: 5\n  EvacuateMs: 5000\n  RecoveryS: 12\n  FlowReorderMs: 2000\n  FlowMaxS: 60\nHash: \"mod\"\nDeploymentMode: \"agent\"\n{extra}platform:\n  Address: \"{}\"\n  DeploymentMode: \"kv\"\n  WritesPerS: 400\n  ReadsPerS: 2000\n  HistoryS: 20\n  ValueBytes: 1048576\n  TtlMinMs: 1000\n",
            self.ip(number),
            at(ports.packets),
            at(ports.ready),
            at(ports.control),
            ports.internal,
            ports.internal + 15,
            self.at(1, ports.control),
            self.at(2, ports.control),
            self.at(STORE, ports.store),
        )
    }

    /// Copies the lines about a flow from the logs of the processes into the record.
    pub fn record_log_lines(&self, part: &str) {
        for entry in fs::read_dir(&self.folder).into_iter().flatten().flatten() {
            let name = entry.file_name().to_string_lossy().into_owned();
            if !name.starts_with("log-") {
                continue;
            }
            let text = fs::read_to_string(entry.path()).unwrap_or_default();
            for line in text.lines().filter(|line| line.contains(part)) {
                self.record.line(format!("{name}: {line}"));
            }
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let numbers: Vec<u8> = self.children.keys().copied().collect();
        self.kill(&numbers);
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Reads the commands of the roles from the deploy file.
fn commands() -> BTreeMap<String, Vec<String>> {
    let text = fs::read_to_string("deploy/system.toml").expect("run in the repository's root");
    let mut commands = BTreeMap::new();
    let mut role = String::new();
    for line in text.lines() {
        if let Some(name) = line.strip_prefix("[roles.") {
            role = name.trim_end_matches(']').to_owned();
        } else if let Some(run) = line.strip_prefix("run = ") {
            let words = run.trim().trim_matches('"').split_whitespace();
            commands.insert(role.clone(), words.map(str::to_owned).collect());
        }
    }
    commands
}

/// Finds a loopback network and ports on which nothing listens.
fn free_network() -> ([u8; 2], Ports) {
    let id = std::process::id();
    for offset in 0..200 {
        let seed = id.wrapping_mul(7).wrapping_add(offset * 131);
        let network = [10 + (seed % 50) as u8, (seed / 50 % 250) as u8];
        let base = 20_000 + (seed % 80) as u16 * 100;
        let ports = Ports {
            packets: base,
            outbound: base + 1,
            app: base + 2,
            control: base + 3,
            ready: base + 4,
            internal: base + 5,
            store: base + 30,
        };
        let is_free = [1, 2, 11, 12, 13, 200, STORE].into_iter().all(|number| {
            let ip = Ipv4Addr::new(127, network[0], network[1], number);
            (base..=base + 30).all(|port| UdpSocket::bind((ip, port)).is_ok())
                && TcpListener::bind((ip, METRICS)).is_ok()
        });
        if is_free {
            return (network, ports);
        }
    }
    println!("no loopback network is free");
    std::process::exit(2);
}
