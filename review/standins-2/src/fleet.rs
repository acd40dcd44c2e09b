//! A small deployment: machines with addresses of their own, settings files as in DEPLOY.md, and the
//! project's programs, started with the commands of the deploy file.

use crate::{
    endpoint::{Endpoint, EndpointConfig},
    record::Record,
    router::Front,
    store::Store,
};
use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddrV4, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

pub const ZONES: [&str; 2] = ["gangnam", "guro"];
const STORE: u8 = 250;

/// The ports, the same on all machines.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub datagrams: u16,
    pub ready: u16,
    pub control: u16,
    pub outbound: u16,
    pub app: u16,
    pub store: u16,
    pub internal: u16,
}

/// The processes that were started and not yet waited for; the watchdog ends them too.
pub static CHILDREN: Mutex<Vec<(String, Child)>> = Mutex::new(Vec::new());

#[derive(Debug)]
pub struct Fleet {
    network: [u8; 3],
    pub ports: Ports,
    root: PathBuf,
    folder: PathBuf,
    pub store: Store,
    pub record: Arc<Record>,
    balancer_command: Vec<String>,
    agent_command: Vec<String>,
    fronts: Vec<u8>,
    _lock: UdpSocket,
}

impl Fleet {
    pub fn start(root: &Path, record: &Arc<Record>, fronts: &[u8]) -> io::Result<Self> {
        let (network, lock) = reserve_network()?;
        let base = 21_000 + (std::process::id() % 900) as u16 * 10;
        let ports = Ports {
            datagrams: base,
            ready: base + 1,
            control: base + 2,
            outbound: base + 3,
            app: base + 4,
            store: base + 5,
            internal: 30_500 + (std::process::id() % 100) as u16 * 16,
        };
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let deploy = fs::read_to_string(root.join("deploy/system.toml"))?;
        let command = |role: &str| -> Vec<String> {
            deploy
                .lines()
                .skip_while(|line| *line != format!("[roles.{role}]"))
                .find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'))
                .unwrap_or_default()
                .split(' ')
                .map(str::to_owned)
                .collect()
        };
        let store_address = SocketAddrV4::new(ip(network, STORE), ports.store);
        Ok(Self {
            network,
            ports,
            root: root.to_owned(),
            folder,
            store: Store::start(store_address)?,
            record: Arc::clone(record),
            balancer_command: command("balancer"),
            agent_command: command("agent"),
            fronts: fronts.to_vec(),
            _lock: lock,
        })
    }

    pub fn ip(&self, number: u8) -> Ipv4Addr {
        ip(self.network, number)
    }

    pub fn at(&self, number: u8, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(number), port)
    }

    pub fn front(&self, number: u8) -> Front {
        Front {
            name: format!("front-{number}"),
            datagrams: self.at(number, self.ports.datagrams),
            ready: self.at(number, self.ports.ready),
        }
    }

    fn settings(&self, number: u8, zone: &str, class: &str, extra: &str) -> String {
        let at = |port| self.at(number, port);
        let seeds: Vec<String> = self
            .fronts
            .iter()
            .take(3)
            .map(|front| format!("\"{}\"", self.at(*front, self.ports.control)))
            .collect();
        let outbound = if class == "side" {
            format!(r#","outbound":"{}""#, at(self.ports.outbound))
        } else {
            String::new()
        };
        format!(
            r#"{{"Node":"{class}-{number}","Role":"{class}","MachineClass":"{class}","Ip":"{}","Zone":"{zone}","Region":"kr-central","Zones":{{"gangnam":"kr-central","guro":"kr-central"}},"Listen":{{"DatagramAddr":"{}","Ready":"{}","Control":"{}"{outbound}}},"InternalPorts":[{},{}],"Seeds":[{}],"Bootstrap":true,"Limits":{{"CpuShare":0.25,"Cores":1,"MemoryMb":260,"MaxFds":4100,"LinkMbps":1000.0,"DiskMb":0}},"DataDir":null,"Discovery":"local","Entry":"announce","HeartbeatMs":1200,"Contracts":["base","drain","config","cost","recover","flows","places","platform"],"FaultTolerance":{{"Machines":2,"Zones":1,"Regions":0}},"Bounds":{{"SeedLagS":3,"ReuseAfterS":2,"ContactMs":4000,"AckMs":5000,"CatchUpS":4,"DrainMs":3000,"GraceS":6,"LossSlackMs":200,"ConfigApplyMs":3000,"RollbackSlackMs":250,"OuterMs":12000,"WarmupOverage":1.5,"WarmupSlack":5,"EvacuateMs":5000,"RecoveryS":12,"FlowReorderMs":2000,"FlowMaxS":60}},"Hash":"mod","DeploymentMode":"agent"{extra},"platform":{{"Address":"{}","DeploymentMode":"kv","WritesPerS":400,"ReadsPerS":2000,"HistoryS":20,"ValueBytes":1048576,"TtlMinMs":1000}}}}"#,
            self.ip(number),
            at(self.ports.datagrams),
            at(self.ports.ready),
            at(self.ports.control),
            self.ports.internal,
            self.ports.internal + 15,
            seeds.join(","),
            self.at(STORE, self.ports.store),
        )
    }

    fn spawn(&self, name: &str, command: &[String], settings: &str) -> io::Result<()> {
        let path = self.folder.join(format!("{name}.yaml"));
        fs::write(&path, settings)?;
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))?;
        let child = Command::new(self.root.join(&command[0]))
            .args(&command[1..])
            .current_dir(&self.root)
            .env_clear()
            .env("BASILSTEP_CONFIG", path)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        self.record.line(&format!("{name} is started"));
        CHILDREN.lock().unwrap().push((name.to_owned(), child));
        Ok(())
    }

    pub fn start_front(&self, number: u8, zone: &str) -> io::Result<()> {
        let settings = self.settings(number, zone, "front", "");
        self.spawn(
            &format!("front-{number}"),
            &self.balancer_command,
            &settings,
        )
    }

    pub fn start_side(&self, number: u8, zone: &str, service: &str) -> io::Result<()> {
        let app = self.at(number, self.ports.app);
        let extra = format!(r#","app":"{app}","Service":"{service}""#);
        let settings = self.settings(number, zone, "side", &extra);
        self.spawn(&format!("side-{number}"), &self.agent_command, &settings)
    }

    pub fn endpoint_config(&self, number: u8, zone: &str, service: &str) -> EndpointConfig {
        EndpointConfig {
            name: format!("server-{number}"),
            id: format!("i-{number:04}"),
            service: service.to_owned(),
            zone: zone.to_owned(),
            app: self.at(number, self.ports.app),
            outbound: self.at(number, self.ports.outbound),
            control: self.at(number, self.ports.control),
            capacity: 9,
            ping_ms: 1_200,
            clock_ms: 0,
            first_sequence: 0x1357_0000_u32.wrapping_mul(u32::from(number) + 1),
        }
    }

    pub fn start_endpoint(&self, config: EndpointConfig) -> io::Result<Endpoint> {
        Endpoint::start(config, &self.record)
    }

    /// Sends a signal by its name to a process that this run has started.
    pub fn signal(&self, name: &str, signal: &str) {
        self.record.line(&format!("{name} gets SIG{signal}"));
        let children = CHILDREN.lock().unwrap();
        let (_, child) = children
            .iter()
            .find(|(known, _)| known == name)
            .expect("it runs");
        let command = format!("kill -{signal} {}", child.id());
        let _ = Command::new("/bin/sh").args(["-c", &command]).status();
    }

    /// Waits until a process has ended; returns whether it did.
    pub fn await_end(&self, name: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let mut children = CHILDREN.lock().unwrap();
            let index = children
                .iter()
                .position(|(known, _)| known == name)
                .expect("it runs");
            if let Ok(Some(status)) = children[index].1.try_wait() {
                children.remove(index);
                self.record.line(&format!("{name} has ended: {status}"));
                return true;
            }
            drop(children);
            thread::sleep(Duration::from_millis(5));
        }
        false
    }

    /// Copies the lines of the processes' logs that contain one of `parts` into the record.
    pub fn record_logs(&self, parts: &[&str]) {
        let Ok(files) = fs::read_dir(&self.folder) else {
            return;
        };
        let mut paths: Vec<PathBuf> = files.flatten().map(|file| file.path()).collect();
        paths.sort();
        for path in paths
            .iter()
            .filter(|path| path.extension().is_some_and(|kind| kind == "log"))
        {
            let name = path.file_stem().unwrap().to_string_lossy().into_owned();
            for line in fs::read_to_string(path).unwrap_or_default().lines() {
                if parts.iter().any(|part| line.contains(part)) {
                    self.record.quiet(&format!("log of {name}: {line}"));
                }
            }
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        end_children();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

pub fn end_children() {
    let mut children = match CHILDREN.lock() {
        Ok(children) => children,
        Err(poisoned) => poisoned.into_inner(),
    };
    for (_, child) in children.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    children.clear();
}

const fn ip(network: [u8; 3], number: u8) -> Ipv4Addr {
    Ipv4Addr::new(network[0], network[1], network[2], number)
}

/// Finds a loopback network that no other run on this machine uses.
fn reserve_network() -> io::Result<([u8; 3], UdpSocket)> {
    let first = std::process::id();
    for offset in 0..10_000_u32 {
        let index = first.wrapping_mul(31).wrapping_add(offset);
        let network = [127, 10 + (index / 250 % 40) as u8, 1 + (index % 250) as u8];
        if let Ok(socket) = UdpSocket::bind((ip(network, 254), 9_401)) {
            return Ok((network, socket));
        }
    }
    Err(io::Error::other("no loopback network is free"))
}
