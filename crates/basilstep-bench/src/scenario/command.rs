use super::Simulation;
use basilstep_core::settings::DomainState;
use std::error::Error;

/// One command of a script.
#[derive(Debug, goldenscript::Command)]
pub enum ScriptCommand {
    /// Adds balancers, named b1, b2 and so on.
    Balancers {
        /// The number of them.
        #[arg(key)]
        count: u8,
    },
    /// Adds agents with their targets, named after the domain: north1, north2 and so on.
    Agents {
        /// The number of them.
        #[arg(key)]
        count: u8,
        /// The failure domain.
        #[arg(key)]
        domain: String,
        /// The weight of each target: its capacity relative to others.
        #[arg(key)]
        weight: u8,
    },
    /// Opens flows, with their first packets sprayed over the balancers.
    Open {
        /// The number of them.
        #[arg(key)]
        flows: u32,
    },
    /// Sends one packet of each open flow through one balancer.
    Packets {
        /// The balancer.
        #[arg(key)]
        through: String,
    },
    /// Takes a failure domain out or in, as seen by one balancer.
    Domain {
        /// The domain.
        #[arg(key)]
        name: String,
        /// `out` or `in`.
        #[arg(key)]
        state: String,
        /// The balancer.
        #[arg(key)]
        at: String,
    },
    /// Kills an agent; balancers learn of it only with `detect`.
    Kill {
        /// The agent.
        #[arg(key)]
        agent: String,
    },
    /// Makes all balancers detect the dead agents.
    Detect,
    /// Drains an agent; balancers learn of it immediately.
    Drain {
        /// The agent.
        #[arg(key)]
        agent: String,
    },
    /// Advances the virtual time.
    Pass {
        /// The duration in ms.
        #[arg(key)]
        ms: u64,
    },
}

/// An unknown name in a script.
#[derive(Debug, thiserror::Error)]
#[error("unknown name {0:?}")]
pub struct UnknownName(pub String);

impl goldenscript::Runner for Simulation {
    type Command = ScriptCommand;

    fn run(
        &mut self,
        command: &ScriptCommand,
        _context: &goldenscript::Context,
    ) -> Result<String, Box<dyn Error>> {
        match command {
            ScriptCommand::Balancers { count } => self.add_balancers(*count),
            ScriptCommand::Agents {
                count,
                domain,
                weight,
            } => self.add_agents(*count, domain, *weight),
            ScriptCommand::Open { flows } => return Ok(self.open_flows(*flows).to_string()),
            ScriptCommand::Packets { through } => {
                return Ok(self.send_packets(through)?.to_string());
            }
            ScriptCommand::Domain { name, state, at } => {
                self.change_domain(name, parse_state(state)?, at)?;
            }
            ScriptCommand::Kill { agent } => self.kill_agent(agent)?,
            ScriptCommand::Detect => self.detect_dead_agents(),
            ScriptCommand::Drain { agent } => self.drain_agent(agent)?,
            ScriptCommand::Pass { ms } => self.advance(*ms),
        }
        Ok(String::new())
    }
}

fn parse_state(text: &str) -> Result<DomainState, UnknownName> {
    match text {
        "out" => Ok(DomainState::Out),
        "in" => Ok(DomainState::In),
        other => Err(UnknownName(other.to_owned())),
    }
}
