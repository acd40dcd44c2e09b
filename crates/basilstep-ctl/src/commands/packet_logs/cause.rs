use super::LogLine;
use basilstep_core::codes::ResultCode;

/// Why a balancer did not serve a caller's packet at once.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Cause {
    /// No configuration had been read yet.
    NoConfiguration,
    /// The configuration in force has no such route.
    NoRoute,
    /// No agent of the service was known, or none was left to ask.
    NoAgent,
    /// All agents that were asked had as much work as their targets may have.
    AllFull,
    /// All agents that were asked have cold targets.
    AllCold,
    /// The last agent that was asked refused for another reason.
    Refused,
    /// The holder of an open flow was searched for.
    Searched,
    /// No agent held an open flow.
    FlowLost,
    /// The agent of an open flow was not heard from.
    FlowUnreachable,
}

impl Cause {
    /// Returns the cause that a line of a balancer tells, if it tells one.
    pub fn of(line: &LogLine) -> Option<Self> {
        // Agents log the same message, with the phase of their target; their refusals are followed
        // by another offer of the balancer.
        if line.message != "packet" || line.has("phase") {
            return None;
        }
        match line.code()? {
            ResultCode::Done => None,
            ResultCode::UnknownService if line.number("version") == Some(0) => {
                Some(Self::NoConfiguration)
            }
            ResultCode::UnknownService => Some(Self::NoRoute),
            ResultCode::NoTarget => Some(Self::NoAgent),
            ResultCode::Overloaded => Some(Self::AllFull),
            ResultCode::TargetCold => Some(Self::AllCold),
            ResultCode::FlowSearched => Some(Self::Searched),
            ResultCode::FlowLost => Some(Self::FlowLost),
            ResultCode::FlowUnreachable => Some(Self::FlowUnreachable),
            _ => Some(Self::Refused),
        }
    }

    /// Returns the cause in words.
    pub const fn text(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no configuration read yet",
            Self::NoRoute => "no route in force",
            Self::NoAgent => "no agent known or left to ask",
            Self::AllFull => "all targets full",
            Self::AllCold => "all targets cold",
            Self::Refused => "refused for another reason",
            Self::Searched => "flow searched for",
            Self::FlowLost => "flow lost with its target",
            Self::FlowUnreachable => "agent of the flow not heard from",
        }
    }
}
