//! Command-line flags of the agent and the settings resolved from them.

use argh::FromArgs;
use basilstep_node::flags::{CommonFlags, CommonSettings, InvalidSetting, SettingsResolver};
use std::net::SocketAddrV4;

/// Terminates callers' flows for one target on the same VM, controls admission to the target and
/// keeps its at-most-once record.
///
/// Each flag has an environment variable, such as `BASILSTEP_STORE_TOKEN` for --store-token; the
/// flag takes precedence.
#[derive(Debug, Default, FromArgs)]
pub struct AgentFlags {
    /// IPv4:PORT of this agent, for datagrams (UDP) and for control and relayed requests (TCP)
    #[argh(option)]
    pub address: Option<String>,
    /// name of the failure domain
    #[argh(option)]
    pub domain: Option<String>,
    /// path of the service, teams/TEAM/services/NAME
    #[argh(option)]
    pub service: Option<String>,
    /// IPv4:PORT of the target, an HTTP/1.1 server on the same VM
    #[argh(option)]
    pub target: Option<String>,
    /// capacity of the target relative to other targets of its service, 1 to 255 (default 16)
    #[argh(option)]
    pub target_weight: Option<String>,
    /// path of the target's health endpoint (default /health)
    #[argh(option)]
    pub health_path: Option<String>,
    /// maximum time that a planned stop waits for open flows to end, in ms (default 600000)
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

/// The validated settings of the agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// The settings that all processes have.
    pub common: CommonSettings,
    /// The path of the service that the target serves.
    pub service: String,
    /// The address of the target.
    pub target: SocketAddrV4,
    /// The capacity of the target relative to other targets of its service.
    pub target_weight: u8,
    /// The path of the target's health endpoint.
    pub health_path: String,
    /// The maximum time that a planned stop waits for open flows to end.
    pub stop_wait_ms: u64,
}

impl AgentSettings {
    /// Reads and validates all settings.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidSetting`] for the first setting that is missing or invalid.
    pub fn resolve<E>(
        flags: &AgentFlags,
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
            service: from.required(
                "service",
                flags.service.as_deref(),
                "teams/TEAM/services/NAME",
                |path: &String| is_service_path(path),
            )?,
            target: from.required("target", flags.target.as_deref(), "IPv4:PORT", |_| true)?,
            target_weight: from.with_default(
                "target-weight",
                flags.target_weight.as_deref(),
                16,
                "1 to 255",
                |weight| *weight > 0,
            )?,
            health_path: from.with_default(
                "health-path",
                flags.health_path.as_deref(),
                "/health".to_owned(),
                "a path that begins with /",
                |path| path.starts_with('/'),
            )?,
            stop_wait_ms: from.with_default(
                "stop-wait-ms",
                flags.stop_wait_ms.as_deref(),
                600_000,
                "0 to 3600000",
                |wait_ms| *wait_ms <= 3_600_000,
            )?,
        })
    }
}

fn is_service_path(path: &str) -> bool {
    let parts: Vec<&str> = path.split('/').collect();
    matches!(parts.as_slice(), ["teams", team, "services", name] if !team.is_empty() && !name.is_empty())
}
