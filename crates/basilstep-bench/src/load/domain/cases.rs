//! The compared services, loads and policies.

/// A service and its targets.
#[derive(Clone, Copy, Debug)]
pub struct ServiceCase {
    /// The name that the figures use.
    pub name: &'static str,
    /// The failure domain of each target; domain 0 is the one that is taken out.
    pub domains: &'static [u8],
    /// The requests that a warm target serves at full speed.
    pub slots: u32,
    /// The mean life of a flow.
    pub flow_life_s: f64,
}

/// The modelled services: seats in four domains and pricing in three.
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

/// How a domain is taken out and brought back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The agents have no limits, and balancers silently drop packets of the domain.
    SilentDrop,
    /// As [`Self::SilentDrop`], with a fixed limit at the agents that ignores whether a target is
    /// cold.
    FixedLimit,
    /// The domain gets no new flows, but its tokens stay valid until its power is cut.
    PlacementOnly,
    /// Adaptive limits, resets and closed flows; an agent relays overflow while its target is
    /// impaired.
    WhileImpaired,
    /// As [`Self::Product`], but a cold target takes part in placement with its full weight.
    FullWeight,
    /// The product's policy: an agent relays overflow whenever a peer may have room.
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

    /// Returns the name that the figures use.
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

    /// Returns whether agents relay requests that an impaired target cannot take.
    pub fn relays(self) -> bool {
        !matches!(self, Self::SilentDrop | Self::FixedLimit)
    }

    /// Returns whether agents track which peers have room and relay overflow to these.
    pub fn relays_by_capacity(self) -> bool {
        matches!(self, Self::FullWeight | Self::Product)
    }

    /// Returns whether the flows of the domain are closed explicitly, so that their callers notice.
    pub fn closes_flows(self) -> bool {
        matches!(self, Self::WhileImpaired | Self::FullWeight | Self::Product)
    }
}
