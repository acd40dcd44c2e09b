//! The `settings` experiment.

use super::{LoadArgs, Report};
use serde_json::json;

/// Runs the experiment.
pub fn run(args: &LoadArgs) -> Report {
    Report {
        figures: json!({"experiment": "settings", "state": "not built yet", "seed": args.seed, "seeds": args.seeds}),
        plot: None,
    }
}
