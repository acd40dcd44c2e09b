#[cfg(test)]
mod tests;

/// The requests that one flow still accepts after its caller was asked to open another one
/// (GOAWAY).
///
/// A GOAWAY states the first request that is not run. That has to be true, because callers send
/// such requests again elsewhere.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RequestIntake {
    has_accepted: bool,
    remaining: Option<u32>,
}

impl RequestIntake {
    /// Returns whether the next request that arrives on the flow is accepted; a rejected one must
    /// not run.
    pub fn accept_next(&mut self) -> bool {
        let is_accepted = self.remaining != Some(0);
        self.has_accepted |= is_accepted;
        if let Some(remaining) = &mut self.remaining {
            *remaining = remaining.saturating_sub(1);
        }
        is_accepted
    }

    /// Limits the flow to fewer than `limit` further requests, which may be on their way already.
    ///
    /// Returns how far after the last accepted request the first one lies that is not run. A flow
    /// without a request accepts none: its GOAWAY can only state request 0.
    pub fn limit_to(&mut self, limit: u32) -> u32 {
        let limit = limit.max(1);
        let remaining = if self.has_accepted { limit - 1 } else { 0 };
        self.remaining = Some(self.remaining.map_or(remaining, |now| now.min(remaining)));
        limit
    }
}
