use crate::{
    edit::{
        Claim, Claims, LAST_REMOVAL_PATH, SettingsEditor, Versioned, WriteConfirmation, difference,
    },
    error::CtlError,
    output::Report,
};
use basilstep_core::{
    address::ServiceId,
    admission::AdmissionSettings,
    codes::ResultCode,
    requests::RequestSettings,
    settings::{
        CertificateRecord, SERVICE_RANGES, ServiceRecord, WriteStamp, address_claim_path,
        certificate_path_of, check_service,
    },
};
use basilstep_node::store::Store;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::net::{Ipv4Addr, SocketAddrV4};

const REQUIRE_TICKET_SETTING: &str = "requests.require_ticket";

/// The changes to a service that an operator requested.
#[derive(Clone, Copy, Debug)]
pub struct ServiceEdit<'a> {
    pub address: Option<SocketAddrV4>,
    pub id: Option<u16>,
    pub assignments: &'a [String],
    pub dry_run: bool,
}

/// The record of the last removal.
#[derive(Debug, Deserialize, Serialize)]
struct RemovalRecord {
    path: String,
    stamp: WriteStamp,
}

/// Creates a service: claims its address and its number, then writes its record.
///
/// An interrupted attempt leaves claims behind, which the next attempt for the same path reuses.
pub async fn create<S: Store>(
    editor: &SettingsEditor<S>,
    path: &str,
    edit: &ServiceEdit<'_>,
) -> Result<Report, CtlError> {
    editor.check_allowed(path)?;
    let mut record = edit.apply(&new_record(editor))?;
    if editor.read::<Value>(path).await?.is_some() {
        let message = format!("{path} already exists; use service change");
        return Err(CtlError::new(ResultCode::AlreadyExists, message));
    }
    let claims = Claims::new(editor, path);
    claims.check_address(record.address).await?;
    if edit.dry_run {
        return Ok(change_report(
            path,
            "would be created",
            &Value::Null,
            &json!(record),
        ));
    }
    let mut claimed = vec![claims.claim_address(record.address).await?];
    match claim_number(&claims, edit.id).await {
        Ok((id, claim)) => {
            record.id = id;
            claimed.push(claim);
        }
        Err(error) => {
            claims.release(&claimed).await;
            return Err(error);
        }
    }
    let confirmation = write(editor, path, &record, 0, &claims, &claimed).await?;
    Ok(change_report(
        path,
        &describe_outcome("created", confirmation),
        &Value::Null,
        &json!(record),
    ))
}

/// Changes a service. A new address is claimed first, and the old one is released last.
pub async fn change<S: Store>(
    editor: &SettingsEditor<S>,
    path: &str,
    edit: &ServiceEdit<'_>,
) -> Result<Report, CtlError> {
    editor.check_allowed(path)?;
    let found: Versioned<ServiceRecord> = editor.read_existing(path).await?;
    let mut record = edit.apply(&found.record)?;
    let (before, after) = (json!(found.record), json!(record));
    if difference(&before, &after).is_empty() {
        return Ok(Report::new(
            format!("{path}: nothing to change"),
            json!({ "path": path, "changes": [] }),
        ));
    }
    let claims = Claims::new(editor, path);
    claims.check_address(record.address).await?;
    if edit.dry_run {
        return Ok(change_report(path, "would be changed", &before, &after));
    }
    let address_changes = record.address != found.record.address;
    let mut claimed = Vec::new();
    if address_changes {
        claimed.push(claims.claim_address(record.address).await?);
    }
    record.stamp = editor.stamp();
    let confirmation = write(editor, path, &record, found.version, &claims, &claimed).await?;
    if address_changes {
        release_address_claim(editor, &address_claim_path(found.record.address), &claims).await?;
    }
    Ok(change_report(
        path,
        &describe_outcome("changed", confirmation),
        &before,
        &after,
    ))
}

/// Removes a service, then its certificate and its claims.
pub async fn remove<S: Store>(
    editor: &SettingsEditor<S>,
    path: &str,
    dry_run: bool,
) -> Result<Report, CtlError> {
    editor.check_allowed(path)?;
    let found: Versioned<Value> = editor.read_existing(path).await?;
    if dry_run {
        return Ok(change_report(
            path,
            "would be removed",
            &found.record,
            &Value::Null,
        ));
    }
    let claims = Claims::new(editor, path);
    let owned = claims.read_owned().await?;
    let confirmation = editor.remove(path, found.version).await?;
    let certificate = certificate_path_of(path);
    if let Some(found) = editor.read::<CertificateRecord>(&certificate).await? {
        editor.remove(&certificate, found.version).await?;
    }
    claims.release(&owned).await;
    record_removal(editor, path).await?;
    Ok(change_report(
        path,
        &describe_outcome("removed", confirmation),
        &found.record,
        &Value::Null,
    ))
}

async fn claim_number<S: Store>(
    claims: &Claims<'_, S>,
    requested: Option<u16>,
) -> Result<(ServiceId, Claim), CtlError> {
    match requested.map(ServiceId) {
        Some(id) => Ok((id, claims.claim_id(id).await?)),
        None => claims.claim_any_id().await,
    }
}

async fn write<S: Store>(
    editor: &SettingsEditor<S>,
    path: &str,
    record: &ServiceRecord,
    expected: u64,
    claims: &Claims<'_, S>,
    claimed: &[Claim],
) -> Result<WriteConfirmation, CtlError> {
    let result = editor.write(path, record, &record.stamp, expected).await;
    // When it is unknown whether the record was written, its claims must be kept.
    if result
        .as_ref()
        .is_err_and(|error| error.code != ResultCode::WriteUnknown)
    {
        claims.release(claimed).await;
    }
    result
}

async fn release_address_claim<S: Store>(
    editor: &SettingsEditor<S>,
    claim_path: &str,
    claims: &Claims<'_, S>,
) -> Result<(), CtlError> {
    let owned = claims.read_owned().await?;
    let old: Vec<Claim> = owned
        .into_iter()
        .filter(|claim| claim.path() == claim_path)
        .collect();
    claims.release(&old).await;
    record_removal(editor, claim_path).await
}

/// Writes a record that is newer than a removal. The store forgets a removal after a while, and its
/// index may then decrease below that of the removal; this record keeps the index above it.
async fn record_removal<S: Store>(editor: &SettingsEditor<S>, path: &str) -> Result<(), CtlError> {
    let found = editor.read::<RemovalRecord>(LAST_REMOVAL_PATH).await?;
    let removal = RemovalRecord {
        path: path.to_owned(),
        stamp: editor.stamp(),
    };
    let expected = found.map_or(0, |found| found.version);
    let result = editor
        .write(LAST_REMOVAL_PATH, &removal, &removal.stamp, expected)
        .await;
    match result {
        // The record of another operator serves as well: it is newer than this removal.
        Err(error) if error.code == ResultCode::WriteConflict => Ok(()),
        other => other.map(|_| ()),
    }
}

impl ServiceEdit<'_> {
    /// Returns the record with the changes applied, after validation.
    fn apply(&self, before: &ServiceRecord) -> Result<ServiceRecord, CtlError> {
        let mut value = json!(before);
        for assignment in self.assignments {
            apply_assignment(&mut value, assignment)?;
        }
        let mut record: ServiceRecord =
            serde_json::from_value(value).map_err(|error| CtlError::invalid(error.to_string()))?;
        record.address = self.address.unwrap_or(record.address);
        check_service(&record)?;
        Ok(record)
    }
}

fn apply_assignment(record: &mut Value, assignment: &str) -> Result<(), CtlError> {
    let (name, text) = assignment
        .split_once('=')
        .ok_or_else(|| CtlError::invalid(format!("--set {assignment} is not NAME=VALUE")))?;
    let range = SERVICE_RANGES.iter().find(|range| range.name == name);
    if range.is_none() && name != REQUIRE_TICKET_SETTING {
        let message = format!("no setting is named {name}; docs/SETTINGS.md lists them");
        return Err(CtlError::invalid(message));
    }
    let invalid_value = || {
        let allowed = range.map_or("true or false".to_owned(), |range| {
            format!("{} to {} {}", range.min, range.max, range.unit)
        });
        CtlError::invalid(format!("{name} is {text:?}; allowed: {allowed}"))
    };
    let value = match range {
        Some(range) => {
            let number: u64 = text.parse().or(Err(invalid_value()))?;
            range.check(number)?;
            json!(number)
        }
        None => json!(text.parse::<bool>().or(Err(invalid_value()))?),
    };
    let pointer = format!("/{}", name.replace('.', "/"));
    if let Some(field) = record.pointer_mut(&pointer) {
        *field = value;
    }
    Ok(())
}

fn new_record<S: Store>(editor: &SettingsEditor<S>) -> ServiceRecord {
    ServiceRecord {
        address: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
        id: ServiceId::default(),
        admission: AdmissionSettings::default(),
        requests: RequestSettings::default(),
        stamp: editor.stamp(),
    }
}

fn describe_outcome(what: &str, confirmation: WriteConfirmation) -> String {
    match confirmation {
        WriteConfirmation::Acknowledged => what.to_owned(),
        WriteConfirmation::ReadBack => {
            format!("{what} (the store's answer was lost; reading back shows it)")
        }
    }
}

fn change_report(path: &str, what: &str, before: &Value, after: &Value) -> Report {
    let changes = difference(before, after);
    let mut lines = vec![format!("{path} {what}")];
    lines.extend(changes.iter().map(|change| format!("  {change}")));
    let result = json!({ "path": path, "outcome": what, "changes": changes, "record": after });
    Report::with_lines(lines, result)
}
