use super::service::resolve_service_path;
use crate::{error::CtlError, output::Report, settings::CtlContext};
use argh::FromArgs;
use basilstep_core::{
    codes::ResultCode,
    settings::{CertificateRecord, ServiceRecord, certificate_path_of},
};
use serde_json::json;
use std::{fs, path::PathBuf};

const MAX_PEM_FILE_BYTES: usize = 64 * 1024;

/// Manage the certificates of services.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "certificate")]
pub struct CertificateArgs {
    #[argh(subcommand)]
    command: CertificateCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum CertificateCommand {
    Set(SetArgs),
}

/// Write a certificate chain and its private key, which is encrypted with the cluster key first.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "set",
    example = "{command_name} rail/holds --chain chain.pem --key key.pem"
)]
struct SetArgs {
    /// name of the service, NAME or TEAM/NAME
    #[argh(positional)]
    name: String,
    /// PEM file with the certificate chain, the service's certificate first
    #[argh(option)]
    chain: PathBuf,
    /// PEM file with the private key
    #[argh(option)]
    key: PathBuf,
    /// validate without writing
    #[argh(switch)]
    dry_run: bool,
}

impl CertificateArgs {
    pub async fn run(&self, context: &CtlContext) -> Result<Report, CtlError> {
        let CertificateCommand::Set(args) = &self.command;
        set(context, args).await
    }
}

async fn set(context: &CtlContext, args: &SetArgs) -> Result<Report, CtlError> {
    let editor = context.open_editor()?;
    let service = resolve_service_path(context, &args.name)?;
    editor.check_allowed(&service)?;
    let chain_pem = read_pem(&args.chain, "CERTIFICATE-----")?;
    let key_pem = read_pem(&args.key, "PRIVATE KEY-----")?;
    let sealed_key = context
        .cluster_key()?
        .seal("certificate", rand::random(), key_pem.as_bytes());
    editor.read_existing::<ServiceRecord>(&service).await?;
    let path = certificate_path_of(&service);
    let found = editor.read::<CertificateRecord>(&path).await?;
    let expected = found.map_or(0, |found| found.version);
    let record = CertificateRecord {
        chain_pem,
        sealed_key,
        stamp: editor.stamp(),
    };
    if args.dry_run {
        let result = json!({ "path": path, "outcome": "would be written" });
        return Ok(Report::new(format!("{path} would be written"), result));
    }
    editor
        .write(&path, &record, &record.stamp, expected)
        .await?;
    let result = json!({ "path": path, "outcome": "written" });
    Ok(Report::new(format!("{path} written"), result))
}

fn read_pem(path: &PathBuf, label: &str) -> Result<String, CtlError> {
    let invalid_file = |reason: &str| CtlError::invalid(format!("{}: {reason}", path.display()));
    let text = fs::read_to_string(path).map_err(|error| invalid_file(&error.to_string()))?;
    if text.len() > MAX_PEM_FILE_BYTES {
        return Err(invalid_file("longer than 64 KiB"));
    }
    let has_label = |marker: &str| {
        text.lines()
            .any(|line| line.starts_with(marker) && line.trim_end().ends_with(label))
    };
    if has_label("-----BEGIN ") && has_label("-----END ") {
        return Ok(text);
    }
    Err(CtlError::new(
        ResultCode::InvalidSetting,
        format!("{}: contains no PEM block of {label}", path.display()),
    ))
}
