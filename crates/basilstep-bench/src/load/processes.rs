//! Starts a small part of a fleet for an experiment and reads what its processes use.

use basilstep_bench::demo::{
    fleet::{Binaries, Fleet},
    observer::Observer,
    plan::FleetPlan,
    records::RecordWriter,
};
use rustls::pki_types::CertificateDer;
use std::{error::Error, fs, net::SocketAddrV4, time::Duration};
use tokio::time::{Instant, sleep};

const START_LIMIT: Duration = Duration::from_secs(10);
const POLL: Duration = Duration::from_millis(20);

/// The kernel counts processor time of processes in hundredths of a second.
const MS_PER_TICK: u64 = 10;

/// A running part of a fleet: the store, one balancer, and the first targets of one service.
#[derive(Debug)]
pub struct Processes {
    /// What runs.
    pub plan: FleetPlan,
    /// The processes.
    pub fleet: Fleet,
    /// The writer of the settings, which knows the flow key.
    pub writer: RecordWriter,
    /// The root of the services' certificates.
    pub root: CertificateDer<'static>,
}

/// What a process has used so far.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Its resident memory.
    pub resident_kb: u64,
    /// Its processor time.
    pub processor_ms: u64,
}

impl Processes {
    /// Starts the store, one balancer with `threads`, and `targets` targets with their agents.
    ///
    /// # Errors
    ///
    /// Returns an error when something cannot be started or is not up in time.
    pub async fn start(
        name: &str,
        threads: Option<u16>,
        targets: usize,
    ) -> Result<Self, Box<dyn Error>> {
        let process_id = std::process::id();
        let mut plan = FleetPlan::demo(process_id);
        plan.balancers.truncate(1);
        plan.services.truncate(1);
        plan.targets.truncate(targets);
        plan.balancers[0].threads = threads;
        let logs = std::env::temp_dir().join(format!("basilstep-{name}-{process_id}"));
        let mut fleet = Fleet::open(Binaries::locate()?, logs)?;
        let observer = Observer::new()?;
        plan.start_store(&mut fleet)?;
        until_up(&observer, plan.store_address()).await?;
        let writer = RecordWriter::new(&plan)?;
        let root = writer.write_all(&plan).await?;
        plan.start_balancer(&mut fleet, &plan.balancers[0])?;
        for target in &plan.targets {
            plan.start_target(&mut fleet, target)?;
            plan.start_agent(&mut fleet, target)?;
        }
        until_ready(&plan).await?;
        for target in &plan.targets {
            until_up(&observer, target.address()).await?;
        }
        Ok(Self {
            plan,
            fleet,
            writer,
            root,
        })
    }

    /// Returns the address at which the balancer takes the packets of the service.
    pub fn service_at_balancer(&self) -> SocketAddrV4 {
        let port = self.plan.services[0].address.port();
        SocketAddrV4::new(self.plan.balancers[0].ip, port)
    }

    /// Reads what the process of this name has used; zero when it has ended.
    pub fn usage(&self, name: &str) -> Usage {
        let process = self.fleet.id(name).unwrap_or_default();
        Usage {
            resident_kb: resident_kb(process),
            processor_ms: processor_ms(process),
        }
    }
}

async fn until_ready(plan: &FleetPlan) -> Result<(), Box<dyn Error>> {
    let ready = format!("http://{}/ready", plan.balancers[0].ready_address());
    let began = Instant::now();
    while began.elapsed() < START_LIMIT {
        let answer = reqwest::get(&ready).await;
        if answer.is_ok_and(|answer| answer.status().is_success()) {
            return Ok(());
        }
        sleep(POLL).await;
    }
    Err("the balancer was not ready in time".into())
}

async fn until_up(observer: &Observer, address: SocketAddrV4) -> Result<(), Box<dyn Error>> {
    let began = Instant::now();
    while !observer.is_reachable(address).await {
        if began.elapsed() > START_LIMIT {
            return Err(format!("{address} was not up in time").into());
        }
        sleep(POLL).await;
    }
    Ok(())
}

/// Reads the resident memory of this process.
pub fn own_resident_bytes() -> usize {
    resident_kb(std::process::id()) as usize * 1_024
}

fn resident_kb(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|value| value.split_whitespace().next())
        .and_then(|number| number.parse().ok())
        .unwrap_or_default()
}

fn processor_ms(process: u32) -> u64 {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let ticks: u64 = after_name
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|ticks| ticks.parse::<u64>().ok())
        .sum();
    ticks * MS_PER_TICK
}
