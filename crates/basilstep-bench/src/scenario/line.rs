use super::World;
use basilstep_core::settings::DomainState;
use std::error::Error;

/// One line of a script.
#[derive(Debug, goldenscript::Command)]
pub enum Line {
    /// Adds balancers, named b1, b2 and so on.
    Balancers {
        /// How many.
        #[arg(key)]
        count: u8,
    },
    /// Adds agents with their targets, named after the domain: north1, north2 and so on.
    Agents {
        /// How many.
        #[arg(key)]
        count: u8,
        /// The failure domain.
        #[arg(key)]
        domain: String,
        /// The capacity of each target relative to others.
        #[arg(key)]
        weight: u8,
    },
    /// Lets callers open flows, their first packets sprayed over the balancers.
    Open {
        /// How many.
        #[arg(key)]
        flows: u32,
    },
    /// Lets each open flow send a packet through one balancer.
    Packets {
        /// The balancer.
        #[arg(key)]
        through: String,
    },
    /// Takes a failure domain out or in, as one balancer hears of it.
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
    /// Lets an agent die; balancers find out with the next line.
    Kill {
        /// The agent.
        #[arg(key)]
        agent: String,
    },
    /// Lets all balancers know which agents are dead.
    Detect,
    /// Lets an agent drain; balancers hear of it at once.
    Drain {
        /// The agent.
        #[arg(key)]
        agent: String,
    },
    /// Lets time pass.
    Pass {
        /// How long.
        #[arg(key)]
        ms: u64,
    },
}

/// A name in a script that nothing has.
#[derive(Debug, thiserror::Error)]
#[error("nothing is named {0:?}")]
pub struct UnknownName(pub String);

impl goldenscript::Runner for World {
    type Command = Line;

    fn run(
        &mut self,
        line: &Line,
        _context: &goldenscript::Context,
    ) -> Result<String, Box<dyn Error>> {
        match line {
            Line::Balancers { count } => self.add_balancers(*count),
            Line::Agents {
                count,
                domain,
                weight,
            } => self.add_agents(*count, domain, *weight),
            Line::Open { flows } => return Ok(self.open(*flows).to_string()),
            Line::Packets { through } => return Ok(self.send_packets(through)?.to_string()),
            Line::Domain { name, state, at } => {
                self.change_domain(name, read_state(state)?, at)?;
            }
            Line::Kill { agent } => self.kill(agent)?,
            Line::Detect => self.detect(),
            Line::Drain { agent } => self.drain(agent)?,
            Line::Pass { ms } => self.pass(*ms),
        }
        Ok(String::new())
    }
}

fn read_state(text: &str) -> Result<DomainState, UnknownName> {
    match text {
        "out" => Ok(DomainState::Out),
        "in" => Ok(DomainState::In),
        other => Err(UnknownName(other.to_owned())),
    }
}
