//! Planned stops of agents and balancers.
