//! What is compared: services, loads and policies.

/// A service with its targets.
#[derive(Clone, Copy, Debug)]
pub struct ServiceCase {
    /// The name in the figures.
    pub name: &'static str,
    /// The failure domain of each target; domain 0 is the one that leaves.
    pub domains: &'static [u8],
    /// The requests that a warm target serves at full speed.
    pub slots: u32,
    /// The mean life of a flow.
    pub flow_life_s: f64,
}

/// The services of the brief: seats with four domains, pricing with three.
pub const SERVICES: [ServiceCase; 2] = [
    ServiceCase {
        name: "seats",
        domains: &[0, 0, 1, 1, 2, 2, 3],
        slots: 2,
        flow_life_s: 30.0,
    },
    ServiceCase {
        name: "pricing",
        domains: &[0, 0, 0, 1, 1, 2, 2],
        slots: 9,
        flow_life_s: 600.0,
    },
];

/// The loads relative to the capacity of the whole service.
pub const LOADS: [f64; 2] = [0.8, 1.2];

/// How a domain leaves and returns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// No limits at the agents; tokens of the domain are dropped without a word.
    SilentDrop,
    /// The same with a fixed limit at the agents that knows no cold target.
    FixedLimit,
    /// The domain gets no new flow, but its tokens still work until its power goes.
    PlacementOnly,
    /// Limits, resets and closes; an agent passes overflow on while its target is impaired.
    WhileImpaired,
    /// As [`Self::Ours`], but a cold target counts with its full weight for placement.
    FullWeight,
    /// Overflow is passed on whenever another agent may have room.
    Product,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 6] = [
        Self::SilentDrop,
        Self::FixedLimit,
        Self::PlacementOnly,
        Self::WhileImpaired,
        Self::FullWeight,
        Self::Product,
    ];

    /// Returns the name in the figures.
    pub const fn name(self) -> &'static str {
        match self {
            Self::SilentDrop => "no admission, tokens dropped",
            Self::FixedLimit => "fixed limit, tokens dropped",
            Self::PlacementOnly => "out of placement only",
            Self::WhileImpaired => "overflow relayed while impaired",
            Self::FullWeight => "ours, full weight at once",
            Self::Product => "ours",
        }
    }

    /// Tells whether agents pass on what an impaired target cannot take.
    pub fn relays(self) -> bool {
        !matches!(self, Self::SilentDrop | Self::FixedLimit)
    }

    /// Tells whether agents learn which others have room, and pass on what these can take.
    pub fn relays_by_capacity(self) -> bool {
        matches!(self, Self::FullWeight | Self::Product)
    }

    /// Tells whether the flows of the domain are ended with a word to their callers.
    pub fn closes_flows(self) -> bool {
        matches!(self, Self::WhileImpaired | Self::FullWeight | Self::Product)
    }
}
