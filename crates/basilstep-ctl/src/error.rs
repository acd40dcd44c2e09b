use basilstep_core::{codes::ResultCode, settings::CheckError};
use basilstep_node::{control::ControlError, flags::InvalidSetting, store::StoreError};

/// The error of a command.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{code}: {message}")]
pub struct CtlError {
    /// The result code, which determines the exit status.
    pub code: ResultCode,
    /// What happened and what the operator can do.
    pub message: String,
}

impl CtlError {
    pub fn new(code: ResultCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
        }
    }

    pub fn invalid(message: impl Into<String>) -> Self {
        Self::new(ResultCode::InvalidSetting, message)
    }
}

impl From<CheckError> for CtlError {
    fn from(error: CheckError) -> Self {
        Self::invalid(error.to_string())
    }
}

impl From<InvalidSetting> for CtlError {
    fn from(error: InvalidSetting) -> Self {
        let InvalidSetting {
            name,
            variable,
            found,
            allowed,
            ..
        } = error;
        Self::invalid(format!(
            "--{name} ({variable}) is {found}; allowed: {allowed}"
        ))
    }
}

impl From<StoreError> for CtlError {
    fn from(error: StoreError) -> Self {
        Self::new(error.code(), error.to_string())
    }
}

impl From<ControlError> for CtlError {
    fn from(error: ControlError) -> Self {
        let message = match &error {
            ControlError::Unreachable { address, reason } => format!("{address}: {reason}"),
            ControlError::Refused { address, .. } => format!("{address} rejected the request"),
        };
        Self::new(error.code(), message)
    }
}
