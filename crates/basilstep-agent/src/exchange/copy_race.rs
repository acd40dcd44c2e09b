//! Runs a second copy of a request beside the first one when that is late.

use tokio::{pin, select};

/// The end of a request of which at most two copies were sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RaceEnd<Answer, Failure> {
    /// The first copy was answered; the second one, if there was one, was cancelled.
    First(Answer),
    /// The second copy was answered; the first one was cancelled or had failed.
    Second(Answer),
    /// The first copy failed, and there was no second one.
    FirstFailed(Failure),
    /// Both copies failed.
    BothFailed {
        /// The failure of the first copy.
        first: Failure,
        /// The failure of the second copy.
        second: Failure,
    },
}

/// Waits for the first copy, starts a second one after `delay` if `start_second` returns one, and
/// returns the first answer.
///
/// A copy that fails leaves the other one running. The one that is not needed any more is dropped,
/// which cancels it.
pub async fn race_copies<Answer, Failure, Second>(
    first: impl Future<Output = Result<Answer, Failure>>,
    delay: impl Future<Output = ()>,
    start_second: impl FnOnce() -> Option<Second>,
) -> RaceEnd<Answer, Failure>
where
    Second: Future<Output = Result<Answer, Failure>>,
{
    pin!(first);
    select! {
        biased;
        result = &mut first => return first_alone(result),
        () = delay => {}
    }
    let Some(second) = start_second() else {
        return first_alone(first.await);
    };
    pin!(second);
    select! {
        biased;
        result = &mut first => match result {
            Ok(answer) => RaceEnd::First(answer),
            Err(first) => match second.await {
                Ok(answer) => RaceEnd::Second(answer),
                Err(second) => RaceEnd::BothFailed { first, second },
            },
        },
        result = &mut second => match result {
            Ok(answer) => RaceEnd::Second(answer),
            Err(second) => match first.await {
                Ok(answer) => RaceEnd::First(answer),
                Err(first) => RaceEnd::BothFailed { first, second },
            },
        },
    }
}

fn first_alone<Answer, Failure>(result: Result<Answer, Failure>) -> RaceEnd<Answer, Failure> {
    match result {
        Ok(answer) => RaceEnd::First(answer),
        Err(failure) => RaceEnd::FirstFailed(failure),
    }
}

#[cfg(test)]
mod tests;
