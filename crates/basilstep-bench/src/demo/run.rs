use super::{
    counts::DemoResult,
    fleet::{Binaries, Fleet, FleetError, Signal},
    observer::{Observer, imbalance},
    plan::{Plan, TargetPlan},
    records::{RecordError, RecordWriter},
};
use crate::standins::{
    caller::{Caller, CallerSettings, Flow, FlowSettings, OutTargets, Tally},
    now_ms,
};
use basilstep_core::settings::DomainState;
use rustls::pki_types::CertificateDer;
use std::{
    net::{SocketAddr, SocketAddrV4},
    path::PathBuf,
    time::{Duration, Instant},
};
use tokio::time;

const START_LIMIT: Duration = Duration::from_secs(10);
const START_POLL: Duration = Duration::from_millis(100);
const CALLERS_PER_SERVICE: usize = 60;
const LATE_CALLERS_PER_SERVICE: usize = 30;
const OPERATION_INTERVAL_MS: u64 = 1_000;
const CALM: Duration = Duration::from_secs(6);
const AFTER_KILL: Duration = Duration::from_secs(4);
const AFTER_REPLACEMENT: Duration = Duration::from_secs(2);
const AFTER_DRAIN: Duration = Duration::from_secs(6);
const AFTER_OUT: Duration = Duration::from_secs(7);
const AFTER_RETURN: Duration = Duration::from_secs(5);

const KILLED_BALANCER: usize = 3;
const LEAVING_TARGET: usize = 1;
const OUT_DOMAIN: &str = "d3";

/// Why a run came to no result.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// The processes could not be run.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// The settings could not be written.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// A stand-in did not answer.
    #[error("a stand-in did not answer: {0}")]
    Observe(#[from] reqwest::Error),
    /// The runtime could not be started.
    #[error(transparent)]
    Runtime(#[from] std::io::Error),
    /// Something was not up in time.
    #[error("{0} was not up in time")]
    NotUp(String),
    /// Processes ended before all were up.
    #[error("ended at the start: {0:?}")]
    Ended(Vec<String>),
}

struct Demo {
    plan: Plan,
    fleet: Fleet,
    observer: Observer,
    writer: RecordWriter,
    tally: Tally,
    out: OutTargets,
    callers: Vec<Caller>,
    result: DemoResult,
    began: Instant,
}

/// Runs all phases and returns what was counted.
pub async fn run(process_id: u32, logs: PathBuf) -> Result<DemoResult, DemoError> {
    let binaries = Binaries::locate()?;
    let plan = Plan::demo(process_id);
    let mut demo = Demo {
        fleet: Fleet::open(binaries, logs)?,
        observer: Observer::new()?,
        writer: RecordWriter::new(&plan)?,
        tally: Tally::default(),
        out: OutTargets::default(),
        callers: Vec::new(),
        result: DemoResult::default(),
        began: Instant::now(),
        plan,
    };
    demo.run().await?;
    Ok(demo.result)
}

impl Demo {
    async fn run(&mut self) -> Result<(), DemoError> {
        let root = self.start().await?;
        self.calm(&root).await?;
        self.kill_balancer().await?;
        self.drain_target().await?;
        self.take_domain_out().await?;
        self.bring_domain_back(&root).await?;
        self.end().await
    }

    fn say(&self, what: &str) {
        let counts = self.tally.counts();
        eprintln!(
            "{:5.1} s  {what}  [flows {} opened, {} broken, {} given up; {} whole answers]",
            self.began.elapsed().as_secs_f64(),
            counts.flows_opened,
            counts.flows_broken,
            counts.flows_given_up,
            counts.answers_whole,
        );
    }

    async fn start(&mut self) -> Result<CertificateDer<'static>, DemoError> {
        self.say("starting the store and the targets");
        self.plan.start_store(&mut self.fleet)?;
        for target in &self.plan.targets {
            self.plan.start_target(&mut self.fleet, target)?;
        }
        self.until_up("store", self.plan.store()).await?;
        let root = self.writer.write_all(&self.plan).await?;
        self.say("starting the balancers, the agents and the fabric");
        for balancer in &self.plan.balancers {
            self.plan.start_balancer(&mut self.fleet, balancer)?;
        }
        for target in &self.plan.targets {
            self.plan.start_agent(&mut self.fleet, target)?;
        }
        self.plan.start_fabric(&mut self.fleet)?;
        self.until_up("fabric", self.plan.fabric()).await?;
        for target in self.plan.targets.clone() {
            self.until_up(&target.name, target.address()).await?;
        }
        self.until_ready().await?;
        self.until_flows_open(&root).await?;
        Ok(root)
    }

    async fn until_up(&self, name: &str, address: SocketAddrV4) -> Result<(), DemoError> {
        let limit = Instant::now() + START_LIMIT;
        while !self.observer.answers(address).await {
            if Instant::now() > limit {
                return Err(DemoError::NotUp(name.to_owned()));
            }
            time::sleep(START_POLL).await;
        }
        Ok(())
    }

    /// Waits until the fabric finds all balancers ready.
    async fn until_ready(&mut self) -> Result<(), DemoError> {
        let limit = Instant::now() + START_LIMIT;
        loop {
            let counts = self.observer.fabric(&self.plan).await?;
            let is_ready = |ip| counts.balancers.get(ip).and_then(|counts| counts.ready);
            let mut balancers = self.plan.balancers.iter();
            let Some(late) = balancers.find(|balancer| is_ready(&balancer.ip) != Some(true)) else {
                return Ok(());
            };
            if Instant::now() > limit {
                return Err(DemoError::NotUp(late.name.clone()));
            }
            let ended = self.fleet.unexpected_ends();
            if !ended.is_empty() {
                return Err(DemoError::Ended(ended));
            }
            time::sleep(START_POLL).await;
        }
    }

    /// Waits until a flow opens at each service, so that agents have been announced.
    async fn until_flows_open(&self, root: &CertificateDer<'static>) -> Result<(), DemoError> {
        let limit = Instant::now() + START_LIMIT;
        for service in &self.plan.services {
            let settings = self.flow_settings(service.address, root);
            loop {
                let error = match Flow::open(&settings).await {
                    Ok(flow) => {
                        flow.close().await;
                        break;
                    }
                    Err(error) => error,
                };
                if Instant::now() > limit {
                    let name = format!("{}: first flow ({error})", service.path);
                    return Err(DemoError::NotUp(name));
                }
                time::sleep(START_POLL).await;
            }
        }
        Ok(())
    }

    fn flow_settings(&self, address: SocketAddrV4, root: &CertificateDer<'static>) -> FlowSettings {
        FlowSettings {
            address: SocketAddr::V4(address),
            local_ip: self.plan.caller_ip(),
            root: root.clone(),
        }
    }

    fn add_callers(&mut self, per_service: usize, root: &CertificateDer<'static>) {
        for service in &self.plan.services {
            for _ in 0..per_service {
                let number = self.callers.len();
                let settings = CallerSettings {
                    name: format!("{}-{number}", service.name()),
                    service: service.path.clone(),
                    flow: self.flow_settings(service.address, root),
                    interval_ms: OPERATION_INTERVAL_MS,
                    seed: number as u64,
                };
                let caller = Caller::spawn(settings, self.tally.clone(), self.out.clone());
                self.callers.push(caller);
            }
        }
    }

    async fn calm(&mut self, root: &CertificateDer<'static>) -> Result<(), DemoError> {
        self.say("opening boards, sending offers and uploads");
        self.add_callers(CALLERS_PER_SERVICE, root);
        time::sleep(CALM).await;
        let readings = self.observer.targets(&self.plan.targets).await?;
        self.result.imbalance_max_over_mean = imbalance(&self.plan, &readings);
        Ok(())
    }

    async fn kill_balancer(&mut self) -> Result<(), DemoError> {
        let balancer = self.plan.balancers[KILLED_BALANCER].clone();
        self.say(&format!("killing {}", balancer.name));
        self.fleet.kill(&balancer.name).await?;
        time::sleep(AFTER_KILL).await;
        self.say(&format!("starting {} anew", balancer.name));
        self.plan.start_balancer(&mut self.fleet, &balancer)?;
        time::sleep(AFTER_REPLACEMENT).await;
        Ok(())
    }

    async fn drain_target(&mut self) -> Result<(), DemoError> {
        let leaving = self.leaving();
        self.say(&format!("telling {} to leave", leaving.agent));
        let told_ms = now_ms();
        self.fleet.signal(&leaving.agent, Signal::Terminate).await?;
        time::sleep(AFTER_DRAIN).await;
        let readings = self.observer.targets([&leaving]).await?;
        for reading in readings {
            self.result.requests_to_leaving_after_s =
                seconds_between(told_ms, reading.counts.last_request_ms);
        }
        Ok(())
    }

    fn leaving(&self) -> TargetPlan {
        self.plan.targets[LEAVING_TARGET].clone()
    }

    async fn take_domain_out(&mut self) -> Result<(), DemoError> {
        self.say(&format!("taking domain {OUT_DOMAIN} out"));
        let targets = self.plan.targets_in(OUT_DOMAIN);
        self.out
            .set(targets.map(|target| target.address().to_string()));
        self.writer
            .write_domain(&self.plan, OUT_DOMAIN, DomainState::Out)
            .await?;
        let out_ms = now_ms();
        time::sleep(AFTER_OUT).await;
        let fabric = self.observer.fabric(&self.plan).await?;
        let targets = self.plan.targets_in(OUT_DOMAIN);
        let readings = self.observer.targets(targets).await?;
        let at_targets = readings
            .iter()
            .map(|reading| reading.counts.last_request_ms);
        let balancers = self.plan.balancers.iter();
        let at_balancers = balancers
            .filter(|balancer| balancer.domain == OUT_DOMAIN)
            .filter_map(|balancer| fabric.balancers.get(&balancer.ip))
            .map(|counts| counts.last_sent_ms);
        let last_ms = at_targets.chain(at_balancers).max().unwrap_or_default();
        self.result.packets_to_out_domain_after_s = seconds_between(out_ms, last_ms);
        let left = readings.iter().map(|reading| reading.counts.boards_open);
        self.result.boards_left_in_out_domain = left.sum();
        Ok(())
    }

    async fn bring_domain_back(&mut self, root: &CertificateDer<'static>) -> Result<(), DemoError> {
        self.say(&format!(
            "bringing domain {OUT_DOMAIN} back, with more callers"
        ));
        let before = self.requests_to_out_domain().await?;
        self.writer
            .write_domain(&self.plan, OUT_DOMAIN, DomainState::In)
            .await?;
        self.out.set([]);
        self.add_callers(LATE_CALLERS_PER_SERVICE, root);
        time::sleep(AFTER_RETURN).await;
        let after = self.requests_to_out_domain().await?;
        self.result.requests_to_returned_domain = after - before;
        Ok(())
    }

    async fn requests_to_out_domain(&self) -> Result<u64, DemoError> {
        let targets = self.plan.targets_in(OUT_DOMAIN);
        let readings = self.observer.targets(targets).await?;
        let runs = readings
            .iter()
            .flat_map(|reading| reading.counts.runs.values());
        Ok(runs.sum())
    }

    async fn end(&mut self) -> Result<(), DemoError> {
        self.say("ending the callers");
        for caller in &self.callers {
            caller.stop();
        }
        for caller in self.callers.drain(..) {
            caller.join().await;
        }
        self.result.callers = self.tally.counts();
        self.gather().await?;
        self.say("stopping the processes");
        self.result.unexpected_ends = self.fleet.unexpected_ends();
        let agents = self.plan.targets.iter().map(|target| target.agent.clone());
        let balancers = self
            .plan
            .balancers
            .iter()
            .map(|balancer| balancer.name.clone());
        let agents: Vec<String> = agents.collect();
        let balancers: Vec<String> = balancers.collect();
        self.result.failed_stops = self.fleet.terminate(&agents).await?;
        let failed = self.fleet.terminate(&balancers).await?;
        self.result.failed_stops.extend(failed);
        self.result.took_s = self.began.elapsed().as_secs_f64();
        self.result.judge();
        Ok(())
    }

    async fn gather(&mut self) -> Result<(), DemoError> {
        let runs = self.observer.offer_runs(&self.plan).await?;
        let endings = self.tally.offers();
        self.result.compare_offers(&endings, &runs);
        let readings = self.observer.targets(&self.plan.targets).await?;
        let result = &mut self.result;
        result.misrouted_packets = result.callers.answers_foreign;
        for reading in &readings {
            result.misrouted_packets += reading.counts.misrouted;
            result.targets_fell_over += reading.counts.fell_over;
            result.targets_shed += reading.counts.shed;
        }
        let fabric = self.observer.fabric(&self.plan).await?;
        let packets = fabric.balancers.iter();
        result.packets_by_balancer = packets
            .map(|(ip, counts)| (ip.to_string(), counts.sent))
            .collect();
        Ok(())
    }
}

/// Returns how long after `from_ms` something happened, and 0 when it was before.
fn seconds_between(from_ms: u64, to_ms: u64) -> f64 {
    Duration::from_millis(to_ms.saturating_sub(from_ms)).as_secs_f64()
}
