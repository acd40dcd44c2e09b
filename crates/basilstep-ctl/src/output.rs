use crate::error::CtlError;
use argh::EarlyExit;
use basilstep_core::codes::ResultCode;
use serde_json::{Value, json};
use std::process::{ExitCode, exit};

/// The result of a successful command.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The lines of the text output.
    pub lines: Vec<String>,
    /// The result in the JSON output.
    pub result: Value,
}

impl Report {
    pub fn new(line: impl Into<String>, result: Value) -> Self {
        Self {
            lines: vec![line.into()],
            result,
        }
    }

    pub fn with_lines(lines: Vec<String>, result: Value) -> Self {
        Self { lines, result }
    }
}

/// Prints the outcome of a command and returns the exit status of its result code.
pub fn print(json: bool, outcome: &Result<Report, CtlError>) -> ExitCode {
    let code = match outcome {
        Ok(_) => ResultCode::Done,
        Err(error) => error.code,
    };
    match outcome {
        Ok(report) if json => println!(
            "{}",
            json!({ "code": code.number(), "name": code.name(), "result": report.result })
        ),
        Err(error) if json => println!(
            "{}",
            json!({ "code": code.number(), "name": code.name(), "message": error.message })
        ),
        Ok(report) => report.lines.iter().for_each(|line| println!("{line}")),
        Err(error) => eprintln!("{error}"),
    }
    ExitCode::from(code.exit_status())
}

/// Prints the help or the error of the arguments and exits.
pub fn exit_early(early: &EarlyExit) -> ! {
    if early.status.is_ok() {
        println!("{}", early.output);
        exit(0)
    }
    let code = ResultCode::InvalidSetting;
    eprintln!("{code}: {}", early.output.trim());
    exit(i32::from(code.exit_status()))
}
