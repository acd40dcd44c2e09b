use crate::{
    edit::{Claim, Claims, Editor, Found, LAST_REMOVAL_PATH, Write, difference},
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

const TICKET_SETTING: &str = "requests.require_ticket";

/// What an operator wants of a service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceEdit<'a> {
    pub address: Option<SocketAddrV4>,
    pub id: Option<u16>,
    pub sets: &'a [String],
    pub dry_run: bool,
}

/// The note of the last removal.
#[derive(Debug, Deserialize, Serialize)]
struct Removal {
    path: String,
    stamp: WriteStamp,
}

/// Creates a service: the address, the number, then the record.
///
/// An attempt that ended halfway leaves claims that the next one for the same path takes up.
pub async fn create<S: Store>(
    editor: &Editor<S>,
    path: &str,
    edit: &ServiceEdit<'_>,
) -> Result<Report, CtlError> {
    editor.check_allowed(path)?;
    let mut record = edit.apply(&new_record(editor))?;
    if editor.read::<Value>(path).await?.is_some() {
        let message = format!("{path} exists; use service change");
        return Err(CtlError::new(ResultCode::AlreadyExists, message));
    }
    let claims = Claims::new(editor, path);
    claims.check_address(record.address).await?;
    if edit.dry_run {
        return Ok(report(
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
            claims.give_back(&claimed).await;
            return Err(error);
        }
    }
    let how = write(editor, path, &record, 0, &claims, &claimed).await?;
    Ok(report(
        path,
        &done("created", how),
        &Value::Null,
        &json!(record),
    ))
}

/// Changes a service; a new address is claimed first and the old one given back last.
pub async fn change<S: Store>(
    editor: &Editor<S>,
    path: &str,
    edit: &ServiceEdit<'_>,
) -> Result<Report, CtlError> {
    editor.check_allowed(path)?;
    let found: Found<ServiceRecord> = editor.read_existing(path).await?;
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
        return Ok(report(path, "would be changed", &before, &after));
    }
    let moves = record.address != found.record.address;
    let mut claimed = Vec::new();
    if moves {
        claimed.push(claims.claim_address(record.address).await?);
    }
    record.stamp = editor.stamp();
    let how = write(editor, path, &record, found.version, &claims, &claimed).await?;
    if moves {
        give_up(editor, &address_claim_path(found.record.address), &claims).await?;
    }
    Ok(report(path, &done("changed", how), &before, &after))
}

/// Removes a service, then its certificate and its claims.
pub async fn remove<S: Store>(
    editor: &Editor<S>,
    path: &str,
    dry_run: bool,
) -> Result<Report, CtlError> {
    editor.check_allowed(path)?;
    let found: Found<Value> = editor.read_existing(path).await?;
    if dry_run {
        return Ok(report(
            path,
            "would be removed",
            &found.record,
            &Value::Null,
        ));
    }
    let claims = Claims::new(editor, path);
    let owned = claims.owned().await?;
    let how = editor.remove(path, found.version).await?;
    let certificate = certificate_path_of(path);
    if let Some(found) = editor.read::<CertificateRecord>(&certificate).await? {
        editor.remove(&certificate, found.version).await?;
    }
    claims.give_back(&owned).await;
    note_removal(editor, path).await?;
    Ok(report(
        path,
        &done("removed", how),
        &found.record,
        &Value::Null,
    ))
}

async fn claim_number<S: Store>(
    claims: &Claims<'_, S>,
    wanted: Option<u16>,
) -> Result<(ServiceId, Claim), CtlError> {
    match wanted.map(ServiceId) {
        Some(id) => Ok((id, claims.claim_id(id).await?)),
        None => claims.claim_any_id().await,
    }
}

async fn write<S: Store>(
    editor: &Editor<S>,
    path: &str,
    record: &ServiceRecord,
    expected: u64,
    claims: &Claims<'_, S>,
    claimed: &[Claim],
) -> Result<Write, CtlError> {
    let result = editor.write(path, record, &record.stamp, expected).await;
    // Where it is unknown whether the record was written, its claims have to stay.
    if result
        .as_ref()
        .is_err_and(|error| error.code != ResultCode::WriteUnknown)
    {
        claims.give_back(claimed).await;
    }
    result
}

async fn give_up<S: Store>(
    editor: &Editor<S>,
    claim_path: &str,
    claims: &Claims<'_, S>,
) -> Result<(), CtlError> {
    let owned = claims.owned().await?;
    let old: Vec<Claim> = owned
        .into_iter()
        .filter(|claim| claim.path() == claim_path)
        .collect();
    claims.give_back(&old).await;
    note_removal(editor, claim_path).await
}

/// The store forgets a removal after a while, and its index may then fall behind it; this record
/// is newer than the removal and stays.
async fn note_removal<S: Store>(editor: &Editor<S>, path: &str) -> Result<(), CtlError> {
    let found = editor.read::<Removal>(LAST_REMOVAL_PATH).await?;
    let removal = Removal {
        path: path.to_owned(),
        stamp: editor.stamp(),
    };
    let expected = found.map_or(0, |found| found.version);
    let result = editor
        .write(LAST_REMOVAL_PATH, &removal, &removal.stamp, expected)
        .await;
    match result {
        // Another operator's note is as good: it is newer than this removal.
        Err(error) if error.code == ResultCode::WriteConflict => Ok(()),
        other => other.map(|_| ()),
    }
}

impl ServiceEdit<'_> {
    /// Returns the record with the changes, checked.
    fn apply(&self, before: &ServiceRecord) -> Result<ServiceRecord, CtlError> {
        let mut value = json!(before);
        for set in self.sets {
            apply_set(&mut value, set)?;
        }
        let mut record: ServiceRecord =
            serde_json::from_value(value).map_err(|error| CtlError::invalid(error.to_string()))?;
        record.address = self.address.unwrap_or(record.address);
        check_service(&record)?;
        Ok(record)
    }
}

fn apply_set(record: &mut Value, set: &str) -> Result<(), CtlError> {
    let (name, text) = set
        .split_once('=')
        .ok_or_else(|| CtlError::invalid(format!("--set {set} is not NAME=VALUE")))?;
    let range = SERVICE_RANGES.iter().find(|range| range.name == name);
    if range.is_none() && name != TICKET_SETTING {
        let message = format!("no setting is named {name}; docs/SETTINGS.md lists them");
        return Err(CtlError::invalid(message));
    }
    let refused = || {
        let allowed = range.map_or("true or false".to_owned(), |range| {
            format!("{} to {} {}", range.min, range.max, range.unit)
        });
        CtlError::invalid(format!("{name} is {text:?}; allowed: {allowed}"))
    };
    let value = match range {
        Some(range) => {
            let number: u64 = text.parse().or(Err(refused()))?;
            range.check(number)?;
            json!(number)
        }
        None => json!(text.parse::<bool>().or(Err(refused()))?),
    };
    let pointer = format!("/{}", name.replace('.', "/"));
    if let Some(field) = record.pointer_mut(&pointer) {
        *field = value;
    }
    Ok(())
}

fn new_record<S: Store>(editor: &Editor<S>) -> ServiceRecord {
    ServiceRecord {
        address: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
        id: ServiceId::default(),
        admission: AdmissionSettings::default(),
        requests: RequestSettings::default(),
        stamp: editor.stamp(),
    }
}

fn done(what: &str, how: Write) -> String {
    match how {
        Write::Confirmed => what.to_owned(),
        Write::ReadBack => format!("{what} (the store's answer was lost; reading back shows it)"),
    }
}

fn report(path: &str, what: &str, before: &Value, after: &Value) -> Report {
    let changes = difference(before, after);
    let mut lines = vec![format!("{path} {what}")];
    lines.extend(changes.iter().map(|change| format!("  {change}")));
    let result = json!({ "path": path, "outcome": what, "changes": changes, "record": after });
    Report::with_lines(lines, result)
}
