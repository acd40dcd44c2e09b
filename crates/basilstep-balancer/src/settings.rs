//! The flags of the balancer and the settings that they make.

use argh::FromArgs;
use basilstep_node::flags::{CommonFlags, CommonSettings, InvalidSetting, SettingsResolver};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Carries callers' packets to the agent beside their target, and answers back.
///
/// Each flag has an environment variable, such as `BASILSTEP_STORE_TOKEN` for --store-token; the
/// flag goes first.
#[derive(Debug, Default, FromArgs)]
pub struct BalancerFlags {
    /// own IPv4:PORT, for datagrams between processes (UDP) and for control (TCP)
    #[argh(option)]
    pub address: Option<String>,
    /// name of the failure domain
    #[argh(option)]
    pub domain: Option<String>,
    /// IPv4 on which the ports of the services are bound (default: each service's own address)
    #[argh(option)]
    pub listen_ip: Option<String>,
    /// IPv4:PORT where the fabric asks over HTTP whether to send packets
    #[argh(option)]
    pub ready_address: Option<String>,
    /// sockets per service address, 1 to 64 (default 1)
    #[argh(option)]
    pub packet_sockets: Option<String>,
    /// threads of the process, 1 to 256 (default: one for each core)
    #[argh(option)]
    pub threads: Option<String>,
    /// time that a planned stop goes on carrying after it says that it is not ready, in ms (default 3000)
    #[argh(option)]
    pub stop_wait_ms: Option<String>,
    /// URL of the platform's key-value service
    #[argh(option)]
    pub store: Option<String>,
    /// access token of the key-value service
    #[argh(option)]
    pub store_token: Option<String>,
    /// root of all keys, 64 hexadecimal digits
    #[argh(option)]
    pub cluster_key: Option<String>,
    /// balancers to ask when the store is down at start, IPv4:PORT,...
    #[argh(option)]
    pub seeds: Option<String>,
    /// IP:PORT of a statsd server; no metrics when not set
    #[argh(option)]
    pub metrics_address: Option<String>,
    /// off, error, warn, info (default), debug or trace
    #[argh(option)]
    pub log_level: Option<String>,
    /// print the version
    #[argh(switch)]
    pub version: bool,
}

/// The checked settings of the balancer.
#[derive(Clone, Debug)]
pub struct BalancerSettings {
    /// What it shares with other processes.
    pub common: CommonSettings,
    /// Where the ports of the services are bound; `None` binds each service's own address.
    pub listen_ip: Option<Ipv4Addr>,
    /// Where the fabric asks whether to send packets.
    pub ready_address: Option<SocketAddrV4>,
    /// The sockets per service address.
    pub packet_sockets: u8,
    /// The threads of the process; `None` for one for each core.
    pub threads: Option<usize>,
    /// How long a planned stop goes on carrying after it says that it is not ready.
    pub stop_wait_ms: u64,
}

impl BalancerSettings {
    /// Reads and checks all settings.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidSetting`] for the first one that is missing or not allowed.
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
                "an own IPv4 address",
                |_| true,
            )?,
            ready_address: from.optional(
                "ready-address",
                flags.ready_address.as_deref(),
                "an own IPv4:PORT",
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
