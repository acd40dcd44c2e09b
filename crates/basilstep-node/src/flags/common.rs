use super::{InvalidSetting, SettingsResolver};
use basilstep_core::crypto::{ClusterKey, KeyError};
use log::LevelFilter;
use std::{
    net::{SocketAddr, SocketAddrV4},
    str::FromStr,
};

/// The flags that balancers and agents share, as given on the command line.
#[derive(Clone, Copy, Debug, Default)]
pub struct CommonFlags<'a> {
    /// `--address`
    pub address: Option<&'a str>,
    /// `--domain`
    pub domain: Option<&'a str>,
    /// `--store`
    pub store: Option<&'a str>,
    /// `--store-token`
    pub store_token: Option<&'a str>,
    /// `--cluster-key`
    pub cluster_key: Option<&'a str>,
    /// `--seeds`
    pub seeds: Option<&'a str>,
    /// `--metrics-address`
    pub metrics_address: Option<&'a str>,
    /// `--log-level`
    pub log_level: Option<&'a str>,
}

/// The settings that balancers and agents share.
#[derive(Clone, Debug)]
pub struct CommonSettings {
    /// The UDP and TCP address for traffic between processes of the system.
    pub address: SocketAddrV4,
    /// The name of the failure domain that the process runs in.
    pub domain: String,
    /// The URL of the platform's key-value store.
    pub store: String,
    /// The access token of the store.
    pub store_token: Option<String>,
    /// The root key from which all other keys are derived.
    pub cluster_key: ClusterKey,
    /// The balancers to bootstrap from when the store is down at start.
    pub seeds: Vec<SocketAddrV4>,
    /// The address of the statsd server; metrics are off without one.
    pub metrics_address: Option<SocketAddr>,
    /// The most verbose level that is logged.
    pub log_level: LevelFilter,
}

impl CommonSettings {
    /// Resolves and validates the shared settings.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidSetting`] for the first setting that is missing or not allowed.
    pub fn resolve<E>(
        flags: CommonFlags<'_>,
        resolver: &SettingsResolver<E>,
    ) -> Result<Self, InvalidSetting>
    where
        E: Fn(&str) -> Option<String>,
    {
        let seeds = resolver.optional(
            "seeds",
            flags.seeds,
            "IPv4:PORT, separated by commas",
            |_: &AddressList| true,
        )?;
        Ok(Self {
            address: resolver.required(
                "address",
                flags.address,
                "IPv4:PORT of this VM, port not 0",
                |value| is_bindable(*value),
            )?,
            domain: resolver.required(
                "domain",
                flags.domain,
                "a failure domain's name",
                |text: &String| is_valid_name(text),
            )?,
            store: resolver.required(
                "store",
                flags.store,
                "http://HOST:PORT",
                |text: &String| is_url(text),
            )?,
            store_token: resolver
                .optional("store-token", flags.store_token, "any text", |_| true)?,
            cluster_key: resolver
                .required(
                    "cluster-key",
                    flags.cluster_key,
                    "64 hexadecimal digits",
                    |_: &HexClusterKey| true,
                )?
                .0,
            seeds: seeds.map(|list| list.0).unwrap_or_default(),
            metrics_address: resolver.optional(
                "metrics-address",
                flags.metrics_address,
                "IP:PORT of a statsd server",
                |_| true,
            )?,
            log_level: resolver.with_default(
                "log-level",
                flags.log_level,
                LevelFilter::Info,
                "off, error, warn, info, debug or trace",
                |_| true,
            )?,
        })
    }
}

struct HexClusterKey(ClusterKey);

impl FromStr for HexClusterKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        ClusterKey::from_hex(text).map(Self)
    }
}

struct AddressList(Vec<SocketAddrV4>);

impl FromStr for AddressList {
    type Err = std::net::AddrParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let addresses = text.split(',').filter(|part| !part.is_empty());
        addresses
            .map(str::parse)
            .collect::<Result<_, _>>()
            .map(Self)
    }
}

fn is_bindable(address: SocketAddrV4) -> bool {
    address.port() != 0 && !address.ip().is_unspecified()
}

fn is_url(text: &str) -> bool {
    text.strip_prefix("http://")
        .is_some_and(|rest| !rest.is_empty())
}

fn is_valid_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-';
    !text.is_empty() && text.len() <= 63 && text.chars().all(allowed)
}
