use super::fleet::{AgentDump, BalancerDump, DumpResults, Fleet};
use crate::{error::CtlError, output::Report, settings::CtlContext};
use argh::FromArgs;
use basilstep_core::codes::ResultCode;
use basilstep_node::store::{SETTINGS_PREFIX, Store};
use serde_json::json;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
    time::Duration,
};
use tokio::time::{Instant, sleep};

const DEFAULT_TIMEOUT_S: u64 = 12;
const POLL_INTERVAL_MS: u64 = 500;

/// Wait until a settings version is in force at every reachable process.
///
/// Balancers are found by their leases, agents in the dumps of the balancers.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "wait", example = "{command_name} --timeout-s 30")]
pub struct WaitArgs {
    /// version to wait for (default: the newest in the store)
    #[argh(option)]
    until: Option<u64>,
    /// longest wait in seconds (default 12)
    #[argh(option, default = "DEFAULT_TIMEOUT_S")]
    timeout_s: u64,
    /// a balancer that lists the others when the store is down, IPv4:PORT
    #[argh(option)]
    at: Option<SocketAddrV4>,
    /// wait for the balancers only
    #[argh(switch)]
    balancers_only: bool,
}

impl WaitArgs {
    pub async fn run(&self, context: &CtlContext) -> Result<Report, CtlError> {
        let fleet = Fleet::open(context)?;
        let version = match self.until {
            Some(version) => version,
            None => {
                context
                    .open_store()?
                    .read_tree(SETTINGS_PREFIX)
                    .await?
                    .index
            }
        };
        let deadline = Instant::now() + Duration::from_secs(self.timeout_s);
        loop {
            let result = self.poll(context, &fleet, version).await?;
            if !context.json {
                eprintln!("{}", result.progress(version));
            }
            if result.behind.is_empty() {
                return Ok(result.report(version));
            }
            if Instant::now() >= deadline {
                return Err(result.timed_out(version));
            }
            sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }

    async fn poll(
        &self,
        context: &CtlContext,
        fleet: &Fleet,
        version: u64,
    ) -> Result<PollResult, CtlError> {
        let balancers = fleet.dump_balancers(context, self.at).await?;
        let mut result = PollResult::default();
        result.add(version, &balancers, |dump: &BalancerDump| {
            dump.settings_version
        });
        if !self.balancers_only {
            let agents = agents_of(&balancers);
            let agents = fleet.dump_all(agents).await;
            result.add(version, &agents, |dump: &AgentDump| dump.settings_version);
        }
        Ok(result)
    }
}

fn agents_of(balancers: &DumpResults<BalancerDump>) -> BTreeSet<SocketAddrV4> {
    let dumps = balancers.dumps.iter().map(|balancer| &balancer.dump);
    dumps
        .flat_map(|dump| &dump.control.agents)
        .map(|agent| agent.address)
        .collect()
}

/// The processes that have the version in force, are behind, or did not respond in one poll.
#[derive(Debug, Default)]
struct PollResult {
    in_force: usize,
    behind: BTreeMap<SocketAddrV4, u64>,
    unreachable: BTreeMap<SocketAddrV4, String>,
}

impl PollResult {
    fn add<T>(&mut self, version: u64, results: &DumpResults<T>, version_of: fn(&T) -> u64) {
        for process in &results.dumps {
            let process_version = version_of(&process.dump);
            if process_version >= version {
                self.in_force += 1;
            } else {
                self.behind.insert(process.address, process_version);
            }
        }
        self.unreachable.extend(results.unreachable.clone());
    }

    fn progress(&self, version: u64) -> String {
        format!(
            "version {version}: in force at {}, behind at {}, no answer from {}",
            self.in_force,
            self.behind.len(),
            self.unreachable.len()
        )
    }

    fn report(&self, version: u64) -> Report {
        let unreachable: Vec<_> = self.unreachable.keys().collect();
        let mut lines = vec![self.progress(version)];
        lines.extend(
            unreachable
                .iter()
                .map(|address| format!("no answer from {address}")),
        );
        let json_result = json!({
            "version": version,
            "in_force": self.in_force,
            "unreachable": unreachable,
        });
        Report::with_lines(lines, json_result)
    }

    fn timed_out(&self, version: u64) -> CtlError {
        let behind: Vec<String> = self
            .behind
            .iter()
            .map(|(address, at)| format!("{address} at {at}"))
            .collect();
        let message = format!("{}; behind: {}", self.progress(version), behind.join(", "));
        CtlError::new(ResultCode::NotInForce, message)
    }
}
