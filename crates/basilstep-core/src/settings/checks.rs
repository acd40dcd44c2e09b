use super::records::ServiceRecord;

const MAX_NAME_BYTES: usize = 63;
const HOUR_MS: u64 = 3_600_000;

/// A setting has a value that is not allowed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{name} is {value}; allowed: {allowed}")]
pub struct CheckError {
    /// The name of the setting.
    pub name: String,
    /// The rejected value.
    pub value: String,
    /// The values that are allowed.
    pub allowed: String,
}

/// The allowed range of a number in a service record.
#[derive(Clone, Copy, Debug)]
pub struct SettingRange {
    /// The name, as `service change --set` accepts it.
    pub name: &'static str,
    /// The unit of the value.
    pub unit: &'static str,
    /// The smallest allowed value.
    pub min: u64,
    /// The largest allowed value.
    pub max: u64,
    /// Reads the value from a record.
    pub value: fn(&ServiceRecord) -> u64,
}

macro_rules! ranges {
    ($($group:ident.$field:ident $unit:literal $min:literal..=$max:expr,)+) => {
        &[$(SettingRange {
            name: concat!(stringify!($group), ".", stringify!($field)),
            unit: $unit,
            min: $min,
            max: $max,
            value: |record| u64::from(record.$group.$field),
        },)+]
    };
}

/// Every number in a service record with its range; docs/SETTINGS.md contains the same table.
pub const SERVICE_RANGES: &[SettingRange] = ranges! {
    admission.request_limit "requests" 1..=100_000,
    admission.cold_request_limit "requests" 1..=100_000,
    admission.ramp_ms "ms" 0..=HOUR_MS,
    admission.connection_limit "connections" 1..=1_000_000,
    admission.queue_limit "requests" 0..=100_000,
    admission.queue_wait_ms "ms" 0..=60_000,
    admission.latency_limit_ms "ms" 1..=HOUR_MS,
    admission.retry_after_min_ms "ms" 1..=HOUR_MS,
    admission.retry_after_max_ms "ms" 1..=HOUR_MS,
    requests.deadline_ms "ms" 1..=HOUR_MS,
    requests.record_limit "records" 1..=1_000_000,
    requests.record_limit_bytes "bytes" 0..=256 << 20,
    requests.record_retention_ms "ms" 1_000..=24 * HOUR_MS,
    requests.recorded_answer_limit_bytes "bytes" 0..=1 << 20,
    requests.retry_limit "attempts" 0..=10,
    requests.retry_budget_percent "percent" 0..=100,
    requests.hedge_percent "percent" 0..=100,
    requests.hedge_quantile_percent "percent" 50..=100,
    requests.hedge_min_delay_ms "ms" 1..=60_000,
};

/// Checks every value of a service record.
///
/// # Errors
///
/// Returns [`CheckError`] for the first value that is not allowed.
pub fn check_service(record: &ServiceRecord) -> Result<(), CheckError> {
    if record.address.port() == 0 || record.address.ip().is_unspecified() {
        let allowed = "an IPv4 address and a port other than 0";
        return Err(not_allowed("address", &record.address, allowed));
    }
    for range in SERVICE_RANGES {
        range.check((range.value)(record))?;
    }
    check_order(
        (
            "admission.cold_request_limit",
            record.admission.cold_request_limit,
        ),
        ("admission.request_limit", record.admission.request_limit),
    )?;
    check_order(
        (
            "admission.retry_after_min_ms",
            record.admission.retry_after_min_ms,
        ),
        (
            "admission.retry_after_max_ms",
            record.admission.retry_after_max_ms,
        ),
    )
}

/// Checks the name of a team, service or failure domain, which becomes one segment of a path.
///
/// # Errors
///
/// Returns [`CheckError`] if the name is empty, too long or contains other characters.
pub fn check_name(what: &str, name: &str) -> Result<(), CheckError> {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if (1..=MAX_NAME_BYTES).contains(&name.len()) && name.chars().all(is_allowed) {
        return Ok(());
    }
    let allowed = "1 to 63 of a-z, 0-9 and '-'";
    Err(not_allowed(what, &format!("{name:?}"), allowed))
}

impl SettingRange {
    /// Checks a value against the range.
    ///
    /// # Errors
    ///
    /// Returns [`CheckError`] if the value is out of range.
    pub fn check(&self, value: u64) -> Result<(), CheckError> {
        if (self.min..=self.max).contains(&value) {
            return Ok(());
        }
        let allowed = format!("{} to {} {}", self.min, self.max, self.unit);
        Err(not_allowed(self.name, &value, &allowed))
    }
}

fn check_order(lower: (&str, u32), upper: (&str, u32)) -> Result<(), CheckError> {
    if lower.1 <= upper.1 {
        return Ok(());
    }
    let allowed = format!("at most {}, which is {}", upper.0, upper.1);
    Err(not_allowed(lower.0, &lower.1, &allowed))
}

fn not_allowed(name: &str, value: &impl ToString, allowed: &str) -> CheckError {
    CheckError {
        name: name.to_owned(),
        value: value.to_string(),
        allowed: allowed.to_owned(),
    }
}
