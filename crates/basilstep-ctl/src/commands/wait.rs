use super::fleet::{AgentDump, Answers, BalancerDump, Fleet};
use crate::{error::CtlError, output::Report, settings::Ctl};
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
const ROUND_INTERVAL_MS: u64 = 500;

/// Wait until a settings version is in force at every process that can be seen.
///
/// Balancers come from their leases, agents from what the balancers know.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "wait", example = "{command_name} --timeout-s 30")]
pub struct WaitArgs {
    /// version to wait for (default: the newest in the store)
    #[argh(option)]
    until: Option<u64>,
    /// longest wait in seconds (default 12)
    #[argh(option, default = "DEFAULT_TIMEOUT_S")]
    timeout_s: u64,
    /// a balancer to ask for the others when the store is down, IPv4:PORT
    #[argh(option)]
    at: Option<SocketAddrV4>,
    /// leave out the agents
    #[argh(switch)]
    balancers_only: bool,
}

impl WaitArgs {
    pub async fn run(&self, ctl: &Ctl) -> Result<Report, CtlError> {
        let fleet = Fleet::open(ctl)?;
        let version = match self.until {
            Some(version) => version,
            None => ctl.open_store()?.read_tree(SETTINGS_PREFIX).await?.index,
        };
        let deadline = Instant::now() + Duration::from_secs(self.timeout_s);
        loop {
            let round = self.look(ctl, &fleet, version).await?;
            if !ctl.json {
                eprintln!("{}", round.progress(version));
            }
            if round.behind.is_empty() {
                return Ok(round.report(version));
            }
            if Instant::now() >= deadline {
                return Err(round.timed_out(version));
            }
            sleep(Duration::from_millis(ROUND_INTERVAL_MS)).await;
        }
    }

    async fn look(&self, ctl: &Ctl, fleet: &Fleet, version: u64) -> Result<Round, CtlError> {
        let balancers = fleet.dump_balancers(ctl, self.at).await?;
        let mut round = Round::default();
        round.add(version, &balancers, |dump: &BalancerDump| {
            dump.settings_version
        });
        if !self.balancers_only {
            let agents = agents_of(&balancers);
            let agents = fleet.dump_all(agents).await;
            round.add(version, &agents, |dump: &AgentDump| dump.settings_version);
        }
        Ok(round)
    }
}

fn agents_of(balancers: &Answers<BalancerDump>) -> BTreeSet<SocketAddrV4> {
    let dumps = balancers.answered.iter().map(|balancer| &balancer.dump);
    dumps
        .flat_map(|dump| &dump.control.agents)
        .map(|agent| agent.address)
        .collect()
}

/// What one round of questions found.
#[derive(Debug, Default)]
struct Round {
    in_force: usize,
    behind: BTreeMap<SocketAddrV4, u64>,
    unreachable: BTreeMap<SocketAddrV4, String>,
}

impl Round {
    fn add<T>(&mut self, version: u64, answers: &Answers<T>, version_of: fn(&T) -> u64) {
        for answered in &answers.answered {
            let at = version_of(&answered.dump);
            if at >= version {
                self.in_force += 1;
            } else {
                self.behind.insert(answered.address, at);
            }
        }
        self.unreachable.extend(answers.unreachable.clone());
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
        let result = json!({
            "version": version,
            "in_force": self.in_force,
            "unreachable": unreachable,
        });
        Report::with_lines(lines, result)
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
