use super::service::path_of;
use crate::{error::CtlError, output::Report, settings::Ctl};
use argh::FromArgs;
use basilstep_core::{
    codes::ResultCode,
    settings::{CertificateRecord, ServiceRecord, certificate_path_of},
};
use serde_json::json;
use std::{fs, path::PathBuf};

const MAX_FILE_BYTES: usize = 64 * 1024;

/// Set the certificate of a service.
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

/// Write a certificate chain and its key; the key is sealed under the cluster key first.
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
    /// file with the certificate chain as PEM text, the service's own first
    #[argh(option)]
    chain: PathBuf,
    /// file with the private key as PEM text
    #[argh(option)]
    key: PathBuf,
    /// check, but write nothing
    #[argh(switch)]
    dry_run: bool,
}

impl CertificateArgs {
    pub async fn run(&self, ctl: &Ctl) -> Result<Report, CtlError> {
        let CertificateCommand::Set(args) = &self.command;
        set(ctl, args).await
    }
}

async fn set(ctl: &Ctl, args: &SetArgs) -> Result<Report, CtlError> {
    let editor = ctl.open_editor()?;
    let service = path_of(ctl, &args.name)?;
    editor.check_allowed(&service)?;
    let chain_pem = read_pem(&args.chain, "CERTIFICATE-----")?;
    let key_pem = read_pem(&args.key, "PRIVATE KEY-----")?;
    let sealed_key = ctl
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
    let refuse = |reason: &str| CtlError::invalid(format!("{}: {reason}", path.display()));
    let text = fs::read_to_string(path).map_err(|error| refuse(&error.to_string()))?;
    if text.len() > MAX_FILE_BYTES {
        return Err(refuse("longer than 64 KiB"));
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
        format!("{}: holds no PEM block of {label}", path.display()),
    ))
}
