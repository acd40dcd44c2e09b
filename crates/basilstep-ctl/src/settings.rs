use crate::{edit::SettingsEditor, error::CtlError};
use basilstep_core::{crypto::ClusterKey, settings::check_name};
use basilstep_node::{
    control::ControlClient,
    flags::SettingsResolver,
    keys::NodeKeys,
    store::{ConsulStore, StoreError},
};
use std::env;

/// The global flags that take a value.
const GLOBAL_FLAGS_WITH_VALUE: [&str; 5] = [
    "--store",
    "--store-token",
    "--cluster-key",
    "--team",
    "--author",
];

/// The global flags, as given on the command line.
#[derive(Clone, Copy, Debug, Default)]
pub struct GlobalFlags<'a> {
    pub store: Option<&'a str>,
    pub store_token: Option<&'a str>,
    pub cluster_key: Option<&'a str>,
    pub team: Option<&'a str>,
    pub author: Option<&'a str>,
    pub json: bool,
}

/// The settings that all commands share; each is required only by the commands that use it.
#[derive(Clone, Debug)]
pub struct CtlContext {
    store: Option<String>,
    store_token: Option<String>,
    cluster_key: Option<ClusterKey>,
    /// The team whose subtree may be changed.
    pub team: Option<String>,
    author: String,
    /// Whether to omit progress messages, so that the output is one JSON object.
    pub json: bool,
}

impl CtlContext {
    /// Resolves the settings from flags and environment variables.
    ///
    /// # Errors
    ///
    /// Returns [`CtlError`] for the first value that is not allowed.
    pub fn resolve(flags: &GlobalFlags<'_>) -> Result<Self, CtlError> {
        let resolver = SettingsResolver::new(|name: &str| env::var(name).ok());
        let any = |_: &String| true;
        let team = resolver.optional("team", flags.team, "a team's name", |name: &String| {
            check_name("team", name).is_ok()
        })?;
        let author = resolver.optional("author", flags.author, "any text", any)?;
        let default_author = || team.clone().unwrap_or_else(|| "operators".to_owned());
        let key_hex = resolver.optional(
            "cluster-key",
            flags.cluster_key,
            "64 hexadecimal digits",
            |text: &String| ClusterKey::from_hex(text).is_ok(),
        )?;
        Ok(Self {
            store: resolver.optional("store", flags.store, "http://HOST:PORT", any)?,
            store_token: resolver.optional("store-token", flags.store_token, "any text", any)?,
            cluster_key: key_hex.and_then(|key_hex| ClusterKey::from_hex(&key_hex).ok()),
            author: author.unwrap_or_else(default_author),
            team,
            json: flags.json,
        })
    }

    /// Creates a client of the store.
    ///
    /// # Errors
    ///
    /// Returns [`CtlError`] when its address is missing or not a URL.
    pub fn open_store(&self) -> Result<ConsulStore, CtlError> {
        let url = self
            .store
            .as_deref()
            .ok_or_else(|| missing_setting("store"))?;
        let opened = ConsulStore::open(url, self.store_token.as_deref());
        opened.map_err(|error: StoreError| error.into())
    }

    /// Creates an editor of the settings in the store.
    ///
    /// # Errors
    ///
    /// Returns [`CtlError`] when its address is missing or not a URL.
    pub fn open_editor(&self) -> Result<SettingsEditor<ConsulStore>, CtlError> {
        let store = self.open_store()?;
        Ok(SettingsEditor::new(
            store,
            self.team.as_deref(),
            &self.author,
        ))
    }

    /// Returns the cluster key.
    ///
    /// # Errors
    ///
    /// Returns [`CtlError`] when it is missing.
    pub fn cluster_key(&self) -> Result<&ClusterKey, CtlError> {
        self.cluster_key
            .as_ref()
            .ok_or_else(|| missing_setting("cluster-key"))
    }

    /// Creates a client of the control ports of processes.
    ///
    /// # Errors
    ///
    /// Returns [`CtlError`] when the cluster key is missing.
    pub fn open_control_client(&self) -> Result<ControlClient, CtlError> {
        let keys = NodeKeys::derive(self.cluster_key()?);
        Ok(ControlClient::new(keys.control))
    }
}

fn missing_setting(name: &str) -> CtlError {
    let variable = name.replace('-', "_").to_uppercase();
    CtlError::invalid(format!(
        "this command needs --{name} or BASILSTEP_{variable}"
    ))
}

/// Moves the global flags to the front, so that they may appear anywhere on the command line.
pub fn move_global_flags_first(args: &[String]) -> Vec<String> {
    let (mut front, mut rest) = (Vec::new(), Vec::new());
    let mut args = args.iter().skip(1);
    while let Some(arg) = args.next() {
        if arg == "--json" {
            front.push(arg.clone());
        } else if GLOBAL_FLAGS_WITH_VALUE.contains(&arg.as_str()) {
            front.push(arg.clone());
            front.extend(args.next().cloned());
        } else {
            rest.push(arg.clone());
        }
    }
    front.extend(rest);
    front
}
