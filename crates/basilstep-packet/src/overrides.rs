use basilstep_core::flows::FlowSettings;
use serde_json::Value;

/// The reason why an override of a built-in setting is refused.
#[derive(Debug, thiserror::Error)]
pub enum OverrideError {
    /// The text is not of the form `group.field=value`.
    #[error("{text:?} is not of the form group.field=value")]
    Malformed {
        /// The text.
        text: String,
    },
    /// There is no such setting.
    #[error("there is no setting {name:?}")]
    Unknown {
        /// The name of the setting.
        name: String,
    },
    /// The value is negative or not of the setting's type.
    #[error("the setting {name} does not take the value {value:?}")]
    InvalidValue {
        /// The name of the setting.
        name: String,
        /// The value.
        value: String,
    },
}

/// Returns `settings` with the given overrides, each of the form `group.field=value`.
///
/// # Errors
///
/// Returns [`OverrideError`] for the first override that cannot be applied.
///
/// # Panics
///
/// Panics if the built-in settings cannot be encoded, which is never the case.
pub fn apply(
    mut settings: FlowSettings,
    overrides: &[String],
) -> Result<FlowSettings, OverrideError> {
    for text in overrides {
        settings = apply_one(&settings, text)?;
    }
    Ok(settings)
}

fn apply_one(settings: &FlowSettings, text: &str) -> Result<FlowSettings, OverrideError> {
    let malformed = || OverrideError::Malformed {
        text: text.to_owned(),
    };
    let (name, value) = text.split_once('=').ok_or_else(malformed)?;
    let (group, field) = name.split_once('.').ok_or_else(malformed)?;
    let invalid = || OverrideError::InvalidValue {
        name: name.to_owned(),
        value: value.to_owned(),
    };
    let mut encoded = serde_json::to_value(settings).expect("settings are plain data");
    let setting = encoded
        .get_mut(group)
        .and_then(|group| group.get_mut(field))
        .ok_or_else(|| OverrideError::Unknown {
            name: name.to_owned(),
        })?;
    let parsed: Value = serde_json::from_str(value).map_err(|_error| invalid())?;
    let is_switch = parsed.is_boolean();
    if !is_switch && parsed.as_f64().is_none_or(|number| number < 0.0) {
        return Err(invalid());
    }
    *setting = parsed;
    serde_json::from_value(encoded).map_err(|_error| invalid())
}
