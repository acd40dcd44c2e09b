use basilstep_core::flows::{FlowSettings, RequestKind};

/// A design question and the compared policies.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// The question, as the figures name it.
    pub question: &'static str,
    /// Whether requests may be repeated.
    pub kind: RequestKind,
    /// The faults during the run.
    pub faults: &'static [Fault],
    /// The compared policies; the product's own is the first.
    pub policies: &'static [Policy],
}

/// One answer to a design question.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// The name that the figures use.
    pub name: &'static str,
    /// Derives the policy's settings from the product's.
    pub settings: fn(&mut FlowSettings),
}

/// A fault and its time.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// When the fault happens.
    pub at_ms: u64,
    /// The kind of the fault.
    pub kind: FaultKind,
}

/// The kind of a fault; a number is the index of a process.
#[derive(Clone, Copy, Debug)]
pub enum FaultKind {
    /// A balancer restarts.
    RestartBalancer(usize),
    /// A machine with an agent and its target loses power for a while, and its flows are lost.
    LosePower {
        /// The index of the agent.
        agent: usize,
        /// How long the power is off.
        duration_ms: u64,
    },
    /// An agent pauses for a while; its target keeps running.
    Pause {
        /// The index of the agent.
        agent: usize,
        /// How long the agent pauses.
        duration_ms: u64,
    },
}

const RESTARTS: [Fault; 3] = [
    Fault {
        at_ms: 5_000,
        kind: FaultKind::RestartBalancer(1),
    },
    Fault {
        at_ms: 9_000,
        kind: FaultKind::RestartBalancer(2),
    },
    Fault {
        at_ms: 13_000,
        kind: FaultKind::RestartBalancer(5),
    },
];

const LOSS_AND_PAUSES: [Fault; 4] = [
    Fault {
        at_ms: 5_000,
        kind: FaultKind::LosePower {
            agent: 1,
            duration_ms: 4_000,
        },
    },
    Fault {
        at_ms: 10_000,
        kind: FaultKind::Pause {
            agent: 2,
            duration_ms: 600,
        },
    },
    Fault {
        at_ms: 12_000,
        kind: FaultKind::Pause {
            agent: 3,
            duration_ms: 1_200,
        },
    },
    Fault {
        at_ms: 15_000,
        kind: FaultKind::Pause {
            agent: 4,
            duration_ms: 3_000,
        },
    },
];

const fn unchanged(_settings: &mut FlowSettings) {}

/// The cases of the experiment, one for each question.
pub const CASES: [Case; 4] = [
    Case {
        question: "who is told where a flow is; three balancers restart",
        kind: RequestKind::Idempotent,
        faults: &RESTARTS,
        policies: &[
            Policy {
                name: "all balancers (chosen)",
                settings: unchanged,
            },
            Policy {
                name: "the balancers of the caller's domain",
                settings: |settings| {
                    settings.advertisements.tell_all = 0;
                },
            },
            Policy {
                name: "the balancer that asked",
                settings: |settings| {
                    settings.advertisements.tell_all = 0;
                    settings.advertisements.told_balancers = 0;
                },
            },
        ],
    },
    Case {
        question: "own domain against load",
        kind: RequestKind::Idempotent,
        faults: &[],
        policies: &[
            Policy {
                name: "another domain has to be ahead by three requests (chosen)",
                settings: unchanged,
            },
            Policy {
                name: "the least work anywhere",
                settings: |settings| {
                    settings.placement.other_domain_cost = 0.0;
                },
            },
            Policy {
                name: "the own domain only",
                settings: |settings| {
                    settings.placement.other_domain_cost = 1e9;
                },
            },
        ],
    },
    Case {
        question: "when is a silent agent believed lost; a power loss and three pauses",
        kind: RequestKind::Idempotent,
        faults: &LOSS_AND_PAUSES,
        policies: &[
            Policy {
                name: "suspected after 0.8 s, flows reset after 1.5 s (chosen)",
                settings: unchanged,
            },
            Policy {
                name: "after 0.4 s and 0.5 s",
                settings: |settings| {
                    settings.liveness.suspect_after_ms = 400;
                    settings.liveness.reset_after_ms = 500;
                },
            },
            Policy {
                name: "after 3 s and 6 s",
                settings: |settings| {
                    settings.liveness.suspect_after_ms = 3_000;
                    settings.liveness.reset_after_ms = 6_000;
                },
            },
        ],
    },
    Case {
        question: "when does a balancer that has started reset a flow that nobody holds",
        kind: RequestKind::Idempotent,
        faults: &[
            RESTARTS[0],
            Fault {
                at_ms: 5_000,
                kind: FaultKind::LosePower {
                    agent: 1,
                    duration_ms: 300,
                },
            },
            RESTARTS[2],
        ],
        policies: &[
            Policy {
                name: "after 0.3 s (chosen)",
                settings: unchanged,
            },
            Policy {
                name: "at once, by any roster",
                settings: |settings| {
                    settings.searches.settle_ms = 0;
                    settings.searches.roster_wait_ms = 0;
                },
            },
            Policy {
                name: "after 3 s",
                settings: |settings| {
                    settings.searches.settle_ms = 3_000;
                },
            },
        ],
    },
];
