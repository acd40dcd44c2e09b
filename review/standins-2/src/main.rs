//! Stand-ins and cases of the second review. `review-case-2 CASE ROOT FOLDER` plays a case with the
//! programs of the repository at ROOT and writes FOLDER/record.txt. Exit status: 1 if the rule was
//! broken, 0 if it held, 2 if the case could not run. `TROUBLE=0` plays it without the disruption.

mod cases;
mod endpoint;
mod fleet;
mod half;
mod http;
mod json;
mod packet;
mod record;
mod requester;
mod router;
mod store;

use std::{path::Path, process::exit, sync::Arc, thread, time::Duration};

/// After this time a run that hangs is given up.
const LIMIT: Duration = Duration::from_secs(112);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = arguments.as_slice() else {
        eprintln!("usage: review-case-2 CASE ROOT FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").is_ok_and(|trouble| trouble == "0");
    let has_trouble = !has_trouble;
    thread::spawn(|| {
        thread::sleep(LIMIT);
        eprintln!("the run took too long");
        fleet::end_children();
        exit(2);
    });
    let record = match record::Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("record.txt can't be written: {error}");
            exit(2);
        }
    };
    record.line(&format!("case {case}, disruption: {has_trouble}"));
    let root = std::fs::canonicalize(root).unwrap_or_else(|_| root.into());
    let played = std::panic::catch_unwind(|| cases::play(case, &root, &record, has_trouble));
    fleet::end_children();
    let status = match played {
        Ok(Ok(cases::Verdict::Held)) => {
            record.line("the rule held");
            0
        }
        Ok(Ok(cases::Verdict::Broken(why))) => {
            record.line(&format!("the rule was broken: {why}"));
            1
        }
        Ok(Err(error)) => {
            record.line(&format!("the case could not run: {error}"));
            2
        }
        Err(_) => {
            record.line("the case could not run: a stand-in failed");
            2
        }
    };
    exit(status);
}
