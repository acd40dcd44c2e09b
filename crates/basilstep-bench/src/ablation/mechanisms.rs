/// A mechanism of steering and the settings that switch it off.
#[derive(Clone, Copy, Debug)]
pub struct Mechanism {
    /// Its name in tables and in the journal.
    pub name: &'static str,
    /// The overrides with which the processes run without it.
    pub overrides: &'static [&'static str],
}

/// The name under which runs with all mechanisms are kept.
pub const NOTHING: &str = "nothing";

/// An override with the default, so that all runs start alike: a start that takes longer moves all
/// that follows.
pub const UNCHANGED: &str = "hints.limit=131072";

/// Everything that can be switched off, after the runs with all mechanisms.
pub const MECHANISMS: [Mechanism; 12] = [
    Mechanism {
        name: NOTHING,
        overrides: &[UNCHANGED],
    },
    Mechanism {
        name: "advertisements to all balancers",
        overrides: &["advertisements.tell_all=0"],
    },
    Mechanism {
        name: "resets of unreachable flows",
        overrides: &["liveness.reset_after_ms=3600000"],
    },
    Mechanism {
        name: "preference for the own domain",
        overrides: &["placement.other_domain_cost=0"],
    },
    Mechanism {
        name: "slow-down of cold targets in placement",
        overrides: &["placement.cold_slowdown=1"],
    },
    Mechanism {
        name: "work limit by the latency goal",
        overrides: &["work_limit.min_rounds=2", "work_limit.max_rounds=2"],
    },
    Mechanism {
        name: "allowance of cold targets",
        overrides: &["work_limit.cold_rate_share=1000000"],
    },
    Mechanism {
        name: "doubt about unconfirmed SYNs",
        overrides: &["syns.doubt_ms=0"],
    },
    Mechanism {
        name: "pending SYNs",
        overrides: &["syns.pending_limit=0"],
    },
    Mechanism {
        name: "refusals at once",
        overrides: &["syns.refuse_after_ms=3600000"],
    },
    Mechanism {
        name: "settling before resets",
        overrides: &[
            "searches.settle_ms=0",
            "searches.settle_non_idempotent_ms=0",
        ],
    },
    Mechanism {
        name: "reports in turns",
        overrides: &["liveness.pace_all=1000000"],
    },
];
