//! Command-line flags of the balancer and the settings resolved from them.

use argh::FromArgs;
use basilstep_node::flags::{CommonFlags, CommonSettings, InvalidSetting, SettingsResolver};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Forwards callers' packets to the agents beside the targets, and the agents' packets back to the
/// callers.
///
/// Each flag has an environment variable, such as `BASILSTEP_STORE_TOKEN` for --store-token; the
/// flag takes precedence.
#[derive(Debug, Default, FromArgs)]
pub struct BalancerFlags {
    /// IPv4:PORT of this balancer, for datagrams between processes (UDP) and for control (TCP)
    #[argh(option)]
    pub address: Option<String>,
    /// name of the failure domain
    #[argh(option)]
    pub domain: Option<String>,
    /// IPv4 address on which the service ports are bound (default: each service's own address)
    #[argh(option)]
    pub listen_ip: Option<String>,
    /// IPv4:PORT of the HTTP readiness endpoint that the network fabric polls
    #[argh(option)]
    pub ready_address: Option<String>,
    /// sockets per service address, 1 to 64 (default 1)
    #[argh(option)]
    pub packet_sockets: Option<String>,
    /// worker threads, 1 to 256 (default: one per core)
    #[argh(option)]
    pub threads: Option<String>,
    /// time that a planned stop keeps forwarding after reporting not ready, in ms (default 3000)
    #[argh(option)]
    pub stop_wait_ms: Option<String>,
    /// URL of the platform's key-value service
    #[argh(option)]
    pub store: Option<String>,
    /// access token of the key-value service
    #[argh(option)]
    pub store_token: Option<String>,
    /// cluster key from which all other keys are derived, 64 hexadecimal digits
    #[argh(option)]
    pub cluster_key: Option<String>,
    /// balancers to contact when the store is down at startup, IPv4:PORT,...
    #[argh(option)]
    pub seeds: Option<String>,
    /// IP:PORT of a statsd server; no metrics are sent when unset
    #[argh(option)]
    pub metrics_address: Option<String>,
    /// log level: off, error, warn, info (default), debug or trace
    #[argh(option)]
    pub log_level: Option<String>,
    /// print the version
    #[argh(switch)]
    pub version: bool,
}

/// The validated settings of the balancer.
#[derive(Clone, Debug)]
pub struct BalancerSettings {
    /// The settings that all processes have.
    pub common: CommonSettings,
    /// The address on which the service ports are bound; `None` for each service's own address.
    pub listen_ip: Option<Ipv4Addr>,
    /// The address of the readiness endpoint that the network fabric polls.
    pub ready_address: Option<SocketAddrV4>,
    /// The number of sockets per service address.
    pub packet_sockets: u8,
    /// The number of worker threads; `None` for one per core.
    pub threads: Option<usize>,
    /// The time that a planned stop keeps forwarding after reporting not ready.
    pub stop_wait_ms: u64,
}

impl BalancerSettings {
    /// Reads and validates all settings.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidSetting`] for the first setting that is missing or invalid.
    pub fn resolve<E>(
        flags: &BalancerFlags,
        from: &SettingsResolver<E>,
    ) -> Result<Self, InvalidSetting>
    where
        E: Fn(&str) -> Option<String>,
    {
        let common = CommonFlags {
            address: flags.address.as_deref(),
            domain: flags.domain.as_deref(),
            store: flags.store.as_deref(),
            store_token: flags.store_token.as_deref(),
            cluster_key: flags.cluster_key.as_deref(),
            seeds: flags.seeds.as_deref(),
            metrics_address: flags.metrics_address.as_deref(),
            log_level: flags.log_level.as_deref(),
        };
        Ok(Self {
            common: CommonSettings::resolve(common, from)?,
            listen_ip: from.optional(
                "listen-ip",
                flags.listen_ip.as_deref(),
                "an IPv4 address of this VM",
                |_| true,
            )?,
            ready_address: from.optional(
                "ready-address",
                flags.ready_address.as_deref(),
                "IPv4:PORT of this VM",
                |_| true,
            )?,
            packet_sockets: from.with_default(
                "packet-sockets",
                flags.packet_sockets.as_deref(),
                1,
                "1 to 64",
                |count| (1..=64).contains(count),
            )?,
            threads: from.optional("threads", flags.threads.as_deref(), "1 to 256", |count| {
                (1..=256).contains(count)
            })?,
            stop_wait_ms: from.with_default(
                "stop-wait-ms",
                flags.stop_wait_ms.as_deref(),
                3_000,
                "0 to 600000",
                |wait_ms| *wait_ms <= 600_000,
            )?,
        })
    }
}
