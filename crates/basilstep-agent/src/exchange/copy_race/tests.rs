use super::{RaceEnd, race_copies};
use std::{
    cell::Cell,
    future::{pending, ready},
};
use tokio::{
    join,
    sync::oneshot::{Receiver, channel},
};

type Outcome = Result<u8, &'static str>;

async fn received(outcome: Receiver<Outcome>) -> Outcome {
    outcome.await.unwrap_or(Err("the sender was dropped"))
}

/// Guards against a second copy of a request that was answered within the delay.
#[tokio::test]
async fn answer_within_the_delay_starts_no_second_copy() {
    let is_started = Cell::new(false);
    let end = race_copies(ready(Outcome::Ok(1)), pending(), || {
        is_started.set(true);
        Some(ready(Outcome::Ok(2)))
    });
    assert_eq!(end.await, RaceEnd::First(1));
    assert!(!is_started.get());
}

/// Guards against a request that is lost because its second copy was refused.
#[tokio::test]
async fn without_a_second_copy_the_first_one_is_awaited() {
    for outcome in [Ok(1), Err("lost")] {
        let (sender, first) = channel();
        let no_second = || None::<std::future::Ready<Outcome>>;
        let race = race_copies(received(first), ready(()), no_second);
        let (end, sent) = join!(race, async { sender.send(outcome) });
        sent.unwrap();
        let expected = match outcome {
            Ok(answer) => RaceEnd::First(answer),
            Err(failure) => RaceEnd::FirstFailed(failure),
        };
        assert_eq!(end, expected);
    }
}

/// Guards against a loser that keeps running, at the target or at the other agent.
#[tokio::test]
async fn first_answer_wins_and_the_other_copy_is_cancelled() {
    for does_second_win in [true, false] {
        let (first_sender, first) = channel();
        let (second_sender, second) = channel();
        let race = race_copies(received(first), ready(()), || Some(received(second)));
        let (winner, mut loser) = if does_second_win {
            (second_sender, first_sender)
        } else {
            (first_sender, second_sender)
        };
        let (end, sent) = join!(race, async { winner.send(Ok(7)) });
        sent.unwrap();
        let expected = if does_second_win {
            RaceEnd::Second(7)
        } else {
            RaceEnd::First(7)
        };
        assert_eq!(end, expected);
        loser.closed().await;
    }
}

/// Guards against a failure that hides the answer of the other copy: whichever fails, the other one
/// is the retry.
#[tokio::test]
async fn failed_copy_leaves_the_other_one_running() {
    for is_first_lost in [true, false] {
        let (first_sender, first) = channel();
        let (second_sender, second) = channel();
        let race = race_copies(received(first), ready(()), || Some(received(second)));
        let (lost, other) = if is_first_lost {
            (first_sender, second_sender)
        } else {
            (second_sender, first_sender)
        };
        let (end, ()) = join!(race, async {
            lost.send(Err("lost")).unwrap();
            tokio::task::yield_now().await;
            other.send(Ok(7)).unwrap();
        });
        let expected = if is_first_lost {
            RaceEnd::Second(7)
        } else {
            RaceEnd::First(7)
        };
        assert_eq!(end, expected);
    }
}

/// Guards against the loss of one of the two failures, which decide together whether the request may
/// have run.
#[tokio::test]
async fn both_failures_are_reported() {
    let failed = Outcome::Err("first");
    let end = race_copies(pending_then(failed), ready(()), || {
        Some(ready(Outcome::Err("second")))
    });
    let expected = RaceEnd::BothFailed {
        first: "first",
        second: "second",
    };
    assert_eq!(end.await, expected);
}

async fn pending_then(outcome: Outcome) -> Outcome {
    tokio::task::yield_now().await;
    outcome
}
