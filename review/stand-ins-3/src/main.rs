//! `review-case NAME FOLDER`: plays a case and writes `record.txt` in its folder.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cases;
mod endpoint;
mod fleet;
mod http;
mod json;
mod packet;
mod record;
mod requester;
mod store;

use record::Record;
use std::{path::Path, process::ExitCode};

/// How a case has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        println!("usage: review-case NAME FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".to_owned());
    let record = Record::create(&Path::new(folder).join("record.txt"));
    record.line(format!("case {name}, TROUBLE={trouble}"));
    let verdict = match name.as_str() {
        "forgotten-start" => cases::forgotten_start::play(&record, &trouble),
        "reused-port" => cases::reused_port::play(&record, &trouble),
        "unrecorded-endpoint" => cases::unrecorded_endpoint::play(&record, &trouble),
        _ => Verdict::NotRun,
    };
    record.say(format!("verdict: {verdict:?}"));
    ExitCode::from(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    })
}
