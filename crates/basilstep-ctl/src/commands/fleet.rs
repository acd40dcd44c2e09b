use crate::{error::CtlError, settings::CtlContext};
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

/// The maximum number of processes that are queried concurrently.
const MAX_CONCURRENT_REQUESTS: usize = 32;

/// Queries the processes of the fleet through their control ports.
#[derive(Clone, Debug)]
pub struct Fleet {
    client: ControlClient,
}

/// The fields of a balancer's dump that the commands use.
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

/// The fields of an agent's dump that the commands use.
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

/// The dump of one process.
#[derive(Clone, Debug)]
pub struct ProcessDump<T> {
    pub address: SocketAddrV4,
    pub dump: T,
}

/// The dumps of several processes and the errors of those that sent none.
#[derive(Clone, Debug)]
pub struct DumpResults<T> {
    pub dumps: Vec<ProcessDump<T>>,
    pub unreachable: BTreeMap<SocketAddrV4, String>,
}

impl<T> DumpResults<T> {
    /// Returns a line for each process whose dump could not be read.
    pub fn unreachable_lines(&self) -> impl Iterator<Item = String> {
        let processes = self.unreachable.iter();
        processes.map(|(address, error)| format!("{address} did not answer: {error}"))
    }
}

impl Fleet {
    /// Creates a client of the control ports.
    ///
    /// # Errors
    ///
    /// Returns [`CtlError`] when the cluster key is missing.
    pub fn open(context: &CtlContext) -> Result<Self, CtlError> {
        Ok(Self {
            client: context.open_control_client()?,
        })
    }

    /// Reads the dump of one process.
    pub async fn dump<T: DeserializeOwned>(&self, address: SocketAddrV4) -> Result<T, CtlError> {
        dump(self.client.clone(), address).await
    }

    /// Drains a target: its agent accepts no new flows.
    pub async fn drain(&self, address: SocketAddrV4) -> Result<(), CtlError> {
        self.client.post(address, "/drain", Vec::new()).await?;
        Ok(())
    }

    /// Lists the balancers from their leases in the store or, with `at`, from the dump of one
    /// balancer.
    pub async fn balancers(
        &self,
        context: &CtlContext,
        at: Option<SocketAddrV4>,
    ) -> Result<BTreeSet<SocketAddrV4>, CtlError> {
        if let Some(at) = at {
            let dump: BalancerDump = self.dump(at).await?;
            let others = dump.control.balancers.into_iter();
            return Ok(others.chain([at]).collect());
        }
        let snapshot = context.open_store()?.read_tree(BALANCERS_PREFIX).await?;
        let records = snapshot.balancers().into_iter();
        Ok(records.map(|record| record.address.0).collect())
    }

    /// Reads the dumps of all balancers.
    pub async fn dump_balancers(
        &self,
        context: &CtlContext,
        at: Option<SocketAddrV4>,
    ) -> Result<DumpResults<BalancerDump>, CtlError> {
        let balancers = self.balancers(context, at).await?;
        Ok(self.dump_all(balancers).await)
    }

    /// Reads the dumps of several processes with bounded concurrency.
    pub async fn dump_all<T>(&self, addresses: BTreeSet<SocketAddrV4>) -> DumpResults<T>
    where
        T: DeserializeOwned + Send + 'static,
    {
        let mut results = DumpResults {
            dumps: Vec::new(),
            unreachable: BTreeMap::new(),
        };
        let mut requests = JoinSet::new();
        for address in addresses {
            if requests.len() >= MAX_CONCURRENT_REQUESTS {
                results.add(requests.join_next().await);
            }
            let client = self.client.clone();
            requests.spawn(async move { (address, dump(client, address).await) });
        }
        while !requests.is_empty() {
            results.add(requests.join_next().await);
        }
        results.dumps.sort_by_key(|process| process.address);
        results
    }
}

type JoinedDump<T> = Result<(SocketAddrV4, Result<T, CtlError>), tokio::task::JoinError>;

impl<T> DumpResults<T> {
    fn add(&mut self, joined: Option<JoinedDump<T>>) {
        match joined {
            Some(Ok((address, Ok(dump)))) => self.dumps.push(ProcessDump { address, dump }),
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
        let message = format!("the dump of {address} cannot be parsed: {error}");
        CtlError::invalid(message)
    })
}
