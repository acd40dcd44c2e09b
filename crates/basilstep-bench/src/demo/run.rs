use super::{
    fleet::{Binaries, Fleet, FleetError},
    observer::{Observer, imbalance},
    plan::FleetPlan,
    records::{RecordError, RecordWriter},
    result::DemoResult,
    steps::Step,
};
use crate::fakes::caller::{
    Caller, CallerRecorder, CallerSettings, ExpectedFailures, Flow, FlowClientSettings,
};
use rustls::pki_types::CertificateDer;
use std::{
    net::{SocketAddr, SocketAddrV4},
    path::PathBuf,
    time::{Duration, Instant},
};
use tokio::time;

const START_LIMIT: Duration = Duration::from_secs(10);
const SETTLE_TIME: Duration = Duration::from_secs(2);
const START_POLL_INTERVAL: Duration = Duration::from_millis(100);
const CALLERS_PER_SERVICE: usize = 60;
/// The required rate of 56,000 new flows a second over 6,600 endpoints, scaled to the demo's 12
/// targets.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(10);
const OPERATION_INTERVAL_MS: u64 = 1_000;
const STEADY_STATE_DURATION: Duration = Duration::from_secs(6);

/// A failure that ends a run without a result.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// A process could not be managed.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// The settings could not be written.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// A fake did not respond.
    #[error("a fake did not respond: {0}")]
    Observe(#[from] reqwest::Error),
    /// The runtime could not be started.
    #[error(transparent)]
    Runtime(#[from] std::io::Error),
    /// A process or a service was not up in time.
    #[error("{0} was not up in time")]
    NotUp(String),
    /// Processes exited before all were up.
    #[error("exited during startup: {0:?}")]
    Ended(Vec<String>),
}

pub(super) struct Demo {
    pub(super) plan: FleetPlan,
    pub(super) fleet: Fleet,
    pub(super) observer: Observer,
    pub(super) writer: RecordWriter,
    pub(super) recorder: CallerRecorder,
    pub(super) expected_failures: ExpectedFailures,
    pub(super) callers: Vec<Caller>,
    pub(super) result: DemoResult,
    began: Instant,
}

/// Runs the steps and returns the counts.
pub async fn run(process_id: u32, logs: PathBuf, steps: &[Step]) -> Result<DemoResult, DemoError> {
    let binaries = Binaries::locate()?;
    let plan = FleetPlan::demo(process_id);
    let mut demo = Demo {
        fleet: Fleet::open(binaries, logs)?,
        observer: Observer::new()?,
        writer: RecordWriter::new(&plan)?,
        recorder: CallerRecorder::default(),
        expected_failures: ExpectedFailures::default(),
        callers: Vec::new(),
        result: DemoResult::default(),
        began: Instant::now(),
        plan,
    };
    demo.run(steps).await?;
    Ok(demo.result)
}

impl Demo {
    async fn run(&mut self, steps: &[Step]) -> Result<(), DemoError> {
        let root = self.start().await?;
        self.run_steady_state(&root).await?;
        for step in steps {
            self.run_step(*step, &root).await?;
        }
        self.shut_down().await
    }

    pub(super) fn log_progress(&self, what: &str) {
        let counts = self.recorder.counts();
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
        self.log_progress("starting the store and the targets");
        self.plan.start_store(&mut self.fleet)?;
        for target in &self.plan.targets {
            self.plan.start_target(&mut self.fleet, target)?;
        }
        self.wait_until_up("store", self.plan.store_address())
            .await?;
        let root = self.writer.write_all(&self.plan).await?;
        self.log_progress("starting the balancers, the agents and the fabric");
        for balancer in &self.plan.balancers {
            self.plan.start_balancer(&mut self.fleet, balancer)?;
        }
        for target in &self.plan.targets {
            self.plan.start_agent(&mut self.fleet, target)?;
        }
        self.plan.start_fabric(&mut self.fleet)?;
        self.wait_until_up("fabric", self.plan.fabric_admin_address())
            .await?;
        for target in self.plan.targets.clone() {
            self.wait_until_up(&target.name, target.address()).await?;
        }
        self.wait_until_ready().await?;
        self.wait_until_flows_open(&root).await?;
        // A flow opens as soon as one agent is announced; this waits for the others.
        time::sleep(SETTLE_TIME).await;
        Ok(root)
    }

    async fn wait_until_up(&self, name: &str, address: SocketAddrV4) -> Result<(), DemoError> {
        let limit = Instant::now() + START_LIMIT;
        while !self.observer.is_reachable(address).await {
            if Instant::now() > limit {
                return Err(DemoError::NotUp(name.to_owned()));
            }
            time::sleep(START_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Waits until the fabric sees all balancers as ready.
    async fn wait_until_ready(&mut self) -> Result<(), DemoError> {
        let limit = Instant::now() + START_LIMIT;
        loop {
            let counts = self.observer.fabric_counts(&self.plan).await?;
            let is_ready = |ip| counts.balancers.get(ip).and_then(|counts| counts.ready);
            let mut balancers = self.plan.balancers.iter();
            let Some(late) = balancers.find(|balancer| is_ready(&balancer.ip) != Some(true)) else {
                return Ok(());
            };
            if Instant::now() > limit {
                return Err(DemoError::NotUp(late.name.clone()));
            }
            let ended = self.fleet.unexpected_exits();
            if !ended.is_empty() {
                return Err(DemoError::Ended(ended));
            }
            time::sleep(START_POLL_INTERVAL).await;
        }
    }

    /// Waits until a flow opens at each service, which means that an agent has been announced.
    async fn wait_until_flows_open(&self, root: &CertificateDer<'static>) -> Result<(), DemoError> {
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
                time::sleep(START_POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    fn flow_settings(
        &self,
        address: SocketAddrV4,
        root: &CertificateDer<'static>,
    ) -> FlowClientSettings {
        FlowClientSettings {
            address: SocketAddr::V4(address),
            local_ip: self.plan.caller_ip(),
            root: root.clone(),
        }
    }

    /// Starts callers at a fixed interval, alternating between the services.
    pub(super) async fn add_callers(&mut self, per_service: usize, root: &CertificateDer<'static>) {
        for _ in 0..per_service {
            for service in 0..self.plan.services.len() {
                self.add_caller(service, OPERATION_INTERVAL_MS, root);
                time::sleep(ARRIVAL_INTERVAL).await;
            }
        }
    }

    /// Starts one caller.
    pub(super) fn add_caller(
        &mut self,
        service: usize,
        interval_ms: u64,
        root: &CertificateDer<'static>,
    ) {
        let number = self.callers.len();
        let service = &self.plan.services[service];
        let settings = CallerSettings {
            name: format!("{}-{number}", service.name()),
            service: service.path.clone(),
            flow: self.flow_settings(service.address, root),
            interval_ms,
            seed: number as u64,
        };
        let caller = Caller::spawn(
            settings,
            self.recorder.clone(),
            self.expected_failures.clone(),
        );
        self.callers.push(caller);
    }

    async fn run_steady_state(&mut self, root: &CertificateDer<'static>) -> Result<(), DemoError> {
        self.log_progress("opening boards, sending offers and uploads");
        self.add_callers(CALLERS_PER_SERVICE, root).await;
        time::sleep(STEADY_STATE_DURATION).await;
        let readings = self.observer.target_counts(&self.plan.targets).await?;
        self.result.imbalance_max_over_mean = imbalance(&self.plan, &readings);
        let boards = readings.into_iter();
        self.result.boards_by_target = boards
            .map(|reading| (reading.plan.name, reading.counts.boards_open))
            .collect();
        Ok(())
    }

    async fn shut_down(&mut self) -> Result<(), DemoError> {
        self.log_progress("stopping the callers");
        for caller in &self.callers {
            caller.stop();
        }
        for caller in self.callers.drain(..) {
            caller.join().await;
        }
        self.result.callers = self.recorder.counts();
        self.collect_counts().await?;
        self.log_progress("stopping the processes");
        self.result.unexpected_ends = self.fleet.unexpected_exits();
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
        self.result.check_promises();
        Ok(())
    }

    async fn collect_counts(&mut self) -> Result<(), DemoError> {
        let runs = self.observer.offer_runs(&self.plan).await?;
        let outcomes = self.recorder.offer_outcomes();
        self.result.compare_offers(&outcomes, &runs);
        let readings = self.observer.target_counts(&self.plan.targets).await?;
        let result = &mut self.result;
        result.misrouted_packets =
            result.callers.answers_foreign + result.callers.board_lines_foreign;
        for reading in &readings {
            result.misrouted_packets += reading.counts.misrouted;
            result.targets_fell_over += reading.counts.fell_over;
            result.targets_shed += reading.counts.shed;
        }
        let fabric = self.observer.fabric_counts(&self.plan).await?;
        let packets = fabric.balancers.iter();
        result.packets_by_balancer = packets
            .map(|(ip, counts)| (ip.to_string(), counts.sent))
            .collect();
        Ok(())
    }
}
