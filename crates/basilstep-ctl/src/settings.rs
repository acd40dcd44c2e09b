use crate::{edit::Editor, error::CtlError};
use basilstep_core::{crypto::ClusterKey, settings::check_name};
use basilstep_node::{
    control::ControlClient,
    flags::SettingsResolver,
    keys::NodeKeys,
    store::{ConsulStore, StoreError},
};
use std::env;

/// The flags of all commands that take a value.
const VALUE_FLAGS: [&str; 5] = [
    "--store",
    "--store-token",
    "--cluster-key",
    "--team",
    "--author",
];

/// The flags of all commands, as they were typed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Flags<'a> {
    pub store: Option<&'a str>,
    pub store_token: Option<&'a str>,
    pub cluster_key: Option<&'a str>,
    pub team: Option<&'a str>,
    pub author: Option<&'a str>,
    pub json: bool,
}

/// The settings of the command line; each is demanded only by the commands that need it.
#[derive(Clone, Debug)]
pub struct Ctl {
    store: Option<String>,
    store_token: Option<String>,
    cluster_key: Option<ClusterKey>,
    /// The team whose subtree may be changed.
    pub team: Option<String>,
    author: String,
    /// Whether progress is left out, so that the output is one JSON object.
    pub json: bool,
}

impl Ctl {
    /// Reads flags and environment.
    ///
    /// # Errors
    ///
    /// Returns [`CtlError`] for the first value that is not allowed.
    pub fn resolve(flags: &Flags<'_>) -> Result<Self, CtlError> {
        let from = SettingsResolver::new(|name: &str| env::var(name).ok());
        let any = |_: &String| true;
        let team = from.optional("team", flags.team, "a team's name", |name: &String| {
            check_name("team", name).is_ok()
        })?;
        let author = from.optional("author", flags.author, "any text", any)?;
        let default_author = || team.clone().unwrap_or_else(|| "operators".to_owned());
        let hex = from.optional(
            "cluster-key",
            flags.cluster_key,
            "64 hexadecimal digits",
            |text: &String| ClusterKey::from_hex(text).is_ok(),
        )?;
        Ok(Self {
            store: from.optional("store", flags.store, "http://HOST:PORT", any)?,
            store_token: from.optional("store-token", flags.store_token, "any text", any)?,
            cluster_key: hex.and_then(|hex| ClusterKey::from_hex(&hex).ok()),
            author: author.unwrap_or_else(default_author),
            team,
            json: flags.json,
        })
    }

    /// Opens the store.
    ///
    /// # Errors
    ///
    /// Returns [`CtlError`] when its address is missing or no URL.
    pub fn open_store(&self) -> Result<ConsulStore, CtlError> {
        let url = self.store.as_deref().ok_or_else(|| missing("store"))?;
        let opened = ConsulStore::open(url, self.store_token.as_deref());
        opened.map_err(|error: StoreError| error.into())
    }

    /// Opens the store for changes.
    ///
    /// # Errors
    ///
    /// Returns [`CtlError`] when its address is missing or no URL.
    pub fn open_editor(&self) -> Result<Editor<ConsulStore>, CtlError> {
        let store = self.open_store()?;
        Ok(Editor::new(store, self.team.as_deref(), &self.author))
    }

    /// Returns the cluster key.
    ///
    /// # Errors
    ///
    /// Returns [`CtlError`] when it is missing.
    pub fn cluster_key(&self) -> Result<&ClusterKey, CtlError> {
        self.cluster_key
            .as_ref()
            .ok_or_else(|| missing("cluster-key"))
    }

    /// Opens a client of the processes' control ports.
    ///
    /// # Errors
    ///
    /// Returns [`CtlError`] when the cluster key is missing.
    pub fn open_control(&self) -> Result<ControlClient, CtlError> {
        let keys = NodeKeys::derive(self.cluster_key()?);
        Ok(ControlClient::open(keys.control))
    }
}

fn missing(name: &str) -> CtlError {
    let variable = name.replace('-', "_").to_uppercase();
    CtlError::invalid(format!(
        "this command needs --{name} or BASILSTEP_{variable}"
    ))
}

/// Moves the flags of all commands to the front, so that they may stand anywhere.
pub fn hoist_flags(words: &[String]) -> Vec<String> {
    let (mut front, mut rest) = (Vec::new(), Vec::new());
    let mut words = words.iter().skip(1);
    while let Some(word) = words.next() {
        if word == "--json" {
            front.push(word.clone());
        } else if VALUE_FLAGS.contains(&word.as_str()) {
            front.push(word.clone());
            front.extend(words.next().cloned());
        } else {
            rest.push(word.clone());
        }
    }
    front.extend(rest);
    front
}
