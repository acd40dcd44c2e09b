use crate::{
    edit::{SettingsEditor, Versioned},
    error::CtlError,
    output::Report,
    settings::CtlContext,
};
use argh::FromArgs;
use basilstep_core::{
    codes::ResultCode,
    crypto::ClusterKey,
    settings::{FLOW_KEYS_PATH, FlowKeysRecord, SealedFlowKey},
};
use basilstep_node::{clock::unix_time_s, store::Store};
use serde_json::json;

/// The minimum time between two rotations, because flows older than two rotations break.
const MIN_ROTATION_INTERVAL_S: u64 = 24 * 3_600;

/// Create and rotate the keys of flow tokens.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "keys")]
pub struct KeysArgs {
    #[argh(subcommand)]
    command: KeysCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum KeysCommand {
    Init(InitArgs),
    Rotate(RotateArgs),
}

/// Write the first flow key, encrypted with the cluster key.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "init", example = "{command_name}")]
struct InitArgs {}

/// Put a new flow key in force; the previous one stays valid until the next rotation.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "rotate", example = "{command_name}")]
struct RotateArgs {
    /// rotate even if the last rotation is less than a day old, which breaks older flows
    #[argh(switch)]
    force: bool,
}

impl KeysArgs {
    pub async fn run(&self, context: &CtlContext) -> Result<Report, CtlError> {
        let editor = context.open_editor()?;
        editor.check_allowed(FLOW_KEYS_PATH)?;
        match &self.command {
            KeysCommand::Init(_) => init(&editor, context.cluster_key()?).await,
            KeysCommand::Rotate(args) => rotate(&editor, context.cluster_key()?, args.force).await,
        }
    }
}

async fn init<S: Store>(editor: &SettingsEditor<S>, key: &ClusterKey) -> Result<Report, CtlError> {
    if editor
        .read::<FlowKeysRecord>(FLOW_KEYS_PATH)
        .await?
        .is_some()
    {
        let message = "flow keys already exist; use keys rotate";
        return Err(CtlError::new(ResultCode::AlreadyExists, message));
    }
    write(editor, new_key(key, 1), None, 0).await
}

async fn rotate<S: Store>(
    editor: &SettingsEditor<S>,
    key: &ClusterKey,
    force: bool,
) -> Result<Report, CtlError> {
    let found: Versioned<FlowKeysRecord> = editor.read_existing(FLOW_KEYS_PATH).await?;
    let age_s = unix_time_s().saturating_sub(found.record.rotated_at_s);
    if age_s < MIN_ROTATION_INTERVAL_S && !force && found.record.previous.is_some() {
        let message = format!(
            "the last rotation was {age_s} s ago; older flows would break; wait for a day or \
             pass --force"
        );
        return Err(CtlError::new(ResultCode::UnsafeChange, message));
    }
    let previous = found.record.current;
    let next_id = previous.id.wrapping_add(1);
    write(editor, new_key(key, next_id), Some(previous), found.version).await
}

async fn write<S: Store>(
    editor: &SettingsEditor<S>,
    current: SealedFlowKey,
    previous: Option<SealedFlowKey>,
    expected: u64,
) -> Result<Report, CtlError> {
    let record = FlowKeysRecord {
        current,
        previous,
        rotated_at_s: unix_time_s(),
        stamp: editor.stamp(),
    };
    editor
        .write(FLOW_KEYS_PATH, &record, &record.stamp, expected)
        .await?;
    let valid: Vec<u8> = [Some(&record.current), record.previous.as_ref()]
        .into_iter()
        .flatten()
        .map(|key| key.id)
        .collect();
    let line = format!("new flow tokens use key {}; valid: {valid:?}", valid[0]);
    Ok(Report::new(
        line,
        json!({ "current": valid[0], "valid": valid }),
    ))
}

fn new_key(cluster_key: &ClusterKey, id: u8) -> SealedFlowKey {
    let secret: [u8; 16] = rand::random();
    SealedFlowKey {
        id,
        sealed: cluster_key.seal("flow", rand::random(), &secret),
    }
}
