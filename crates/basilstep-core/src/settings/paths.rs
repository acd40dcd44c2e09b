use crate::address::ServiceId;
use std::net::SocketAddrV4;

/// The path of the flow keys.
pub const FLOW_KEYS_PATH: &str = "keys/flow";

/// A settings path, parsed into what its record describes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SettingsPath<'a> {
    /// `teams/<team>/services/<name>`
    Service {
        /// The team.
        team: &'a str,
        /// The name of the service within its team.
        name: &'a str,
    },
    /// `teams/<team>/certificates/<name>`
    Certificate {
        /// The team.
        team: &'a str,
        /// The name of the service within its team.
        name: &'a str,
    },
    /// `domains/<name>`
    Domain(&'a str),
    /// `claims/addresses/<ip>:<port>`
    AddressClaim(SocketAddrV4),
    /// `claims/ids/<number>`
    IdClaim(ServiceId),
    /// `keys/flow`
    FlowKeys,
    /// Any other path; its record is stored and passed on to peers, but has no effect.
    Other,
}

impl<'a> SettingsPath<'a> {
    /// Parses a path.
    pub fn parse(path: &'a str) -> Self {
        let parts: Vec<&str> = path.split('/').collect();
        if parts.contains(&"") {
            return Self::Other;
        }
        match *parts {
            ["teams", team, "services", name] => Self::Service { team, name },
            ["teams", team, "certificates", name] => Self::Certificate { team, name },
            ["domains", name] => Self::Domain(name),
            ["claims", "addresses", address] => {
                address.parse().map_or(Self::Other, Self::AddressClaim)
            }
            ["claims", "ids", id] => id
                .parse()
                .map_or(Self::Other, |id| Self::IdClaim(ServiceId(id))),
            ["keys", "flow"] => Self::FlowKeys,
            _ => Self::Other,
        }
    }
}

/// Returns the path of a service.
pub fn service_path(team: &str, name: &str) -> String {
    format!("teams/{team}/services/{name}")
}

/// Returns the path of a service's certificate.
pub fn certificate_path(team: &str, name: &str) -> String {
    format!("teams/{team}/certificates/{name}")
}

/// Returns the path of the certificate of the service at `service_path`.
pub fn certificate_path_of(service_path: &str) -> String {
    service_path.replacen("/services/", "/certificates/", 1)
}

/// Returns the path of a failure domain.
pub fn domain_path(name: &str) -> String {
    format!("domains/{name}")
}

/// Returns the path of the claim on an address.
pub fn address_claim_path(address: SocketAddrV4) -> String {
    format!("claims/addresses/{address}")
}

/// Returns the path of the claim on a service id.
pub fn id_claim_path(id: ServiceId) -> String {
    format!("claims/ids/{id}")
}
