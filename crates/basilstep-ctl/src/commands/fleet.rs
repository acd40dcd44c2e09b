use crate::{error::CtlError, settings::Ctl};
use basilstep_core::{address::DomainId, membership::AgentPhase, settings::DomainRecord};
use basilstep_node::{
    control::ControlClient,
    store::{BALANCERS_PREFIX, Store},
};
use serde::{Deserialize, de::DeserializeOwned};
use serde_json::Value;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
};
use tokio::task::JoinSet;

/// How many processes are asked at once.
const MAX_PARALLEL: usize = 32;

/// Asks the processes of the fleet.
#[derive(Clone, Debug)]
pub struct Fleet {
    client: ControlClient,
}

/// What this command line reads of a balancer's dump.
#[derive(Clone, Debug, Deserialize)]
pub struct BalancerDump {
    pub settings_version: u64,
    pub control: BalancerControl,
}

/// The control state in a balancer's dump.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct BalancerControl {
    pub domains: BTreeMap<String, DomainRecord>,
    pub store_is_behind: bool,
    pub rejections: BTreeMap<String, Value>,
    pub unserved: BTreeMap<String, Value>,
    pub agents: Vec<KnownAgent>,
    pub balancers: Vec<SocketAddrV4>,
}

/// An agent as a balancer knows it.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct KnownAgent {
    pub address: SocketAddrV4,
    pub domain: DomainId,
    pub phase: AgentPhase,
}

/// What this command line reads of an agent's dump.
#[derive(Clone, Debug, Deserialize)]
pub struct AgentDump {
    pub settings_version: u64,
    pub domain: String,
    pub domain_out: bool,
    pub target: Value,
    pub target_up: bool,
    pub draining: bool,
    pub open_flows: u64,
}

/// A process that answered.
#[derive(Clone, Debug)]
pub struct Answered<T> {
    pub address: SocketAddrV4,
    pub dump: T,
}

/// The answers of several processes.
#[derive(Clone, Debug)]
pub struct Answers<T> {
    pub answered: Vec<Answered<T>>,
    pub unreachable: BTreeMap<SocketAddrV4, String>,
}

impl<T> Answers<T> {
    /// Returns a line for each process that did not answer.
    pub fn unreachable_lines(&self) -> impl Iterator<Item = String> {
        let processes = self.unreachable.iter();
        processes.map(|(address, error)| format!("{address} did not answer: {error}"))
    }
}

impl Fleet {
    pub fn open(ctl: &Ctl) -> Result<Self, CtlError> {
        Ok(Self {
            client: ctl.open_control()?,
        })
    }

    /// Reads the dump of one process.
    pub async fn dump<T: DeserializeOwned>(&self, address: SocketAddrV4) -> Result<T, CtlError> {
        dump(self.client.clone(), address).await
    }

    /// Tells the agent of a target to take no new flows.
    pub async fn drain(&self, address: SocketAddrV4) -> Result<(), CtlError> {
        self.client.post(address, "/drain", Vec::new()).await?;
        Ok(())
    }

    /// Lists the balancers, from their leases in the store or from one of them.
    pub async fn balancers(
        &self,
        ctl: &Ctl,
        at: Option<SocketAddrV4>,
    ) -> Result<BTreeSet<SocketAddrV4>, CtlError> {
        if let Some(at) = at {
            let dump: BalancerDump = self.dump(at).await?;
            let others = dump.control.balancers.into_iter();
            return Ok(others.chain([at]).collect());
        }
        let reading = ctl.open_store()?.read_tree(BALANCERS_PREFIX).await?;
        let records = reading.balancers().into_iter();
        Ok(records.map(|record| record.address.0).collect())
    }

    /// Reads the dumps of all balancers.
    pub async fn dump_balancers(
        &self,
        ctl: &Ctl,
        at: Option<SocketAddrV4>,
    ) -> Result<Answers<BalancerDump>, CtlError> {
        let balancers = self.balancers(ctl, at).await?;
        Ok(self.dump_all(balancers).await)
    }

    /// Reads the dumps of several processes, a bounded number at once.
    pub async fn dump_all<T>(&self, addresses: BTreeSet<SocketAddrV4>) -> Answers<T>
    where
        T: DeserializeOwned + Send + 'static,
    {
        let mut answers = Answers {
            answered: Vec::new(),
            unreachable: BTreeMap::new(),
        };
        let mut asked = JoinSet::new();
        for address in addresses {
            if asked.len() >= MAX_PARALLEL {
                answers.take(asked.join_next().await);
            }
            let client = self.client.clone();
            asked.spawn(async move { (address, dump(client, address).await) });
        }
        while !asked.is_empty() {
            answers.take(asked.join_next().await);
        }
        answers.answered.sort_by_key(|answered| answered.address);
        answers
    }
}

type Joined<T> = Result<(SocketAddrV4, Result<T, CtlError>), tokio::task::JoinError>;

impl<T> Answers<T> {
    fn take(&mut self, joined: Option<Joined<T>>) {
        match joined {
            Some(Ok((address, Ok(dump)))) => self.answered.push(Answered { address, dump }),
            Some(Ok((address, Err(error)))) => {
                self.unreachable.insert(address, error.to_string());
            }
            Some(Err(_)) | None => {}
        }
    }
}

async fn dump<T: DeserializeOwned>(
    client: ControlClient,
    address: SocketAddrV4,
) -> Result<T, CtlError> {
    let body = client.get(address, "/dump").await?;
    serde_json::from_slice(&body).map_err(|error| {
        let message = format!("the dump of {address} is not of the expected kind: {error}");
        CtlError::invalid(message)
    })
}
