//! Tests of offers between several agents when packets are lost, duplicated and reordered and when
//! balancers send different candidates.

use super::super::{
    MAX_COMPARE_HOPS, OfferDecision, OfferedPacket, OwnLoad, PlacementSettings, RecentOffers,
    acknowledge_offer, decide_offer,
};
use crate::{
    address::AgentAddress,
    context::Context,
    wire::{Candidates, CarrierPurpose, MAX_CANDIDATES},
};
use proptest::{
    collection::vec,
    prelude::{ProptestConfig, Strategy, any, prop_assert, prop_assert_eq, proptest},
    sample::subsequence,
    test_runner::RngSeed,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
};

const AGENTS: u8 = 4;
const ALL_AGENTS: [u8; AGENTS as usize] = [0, 1, 2, 3];
const RETRANSMISSION_MS: u64 = 1_000;
const FLOW_LIMIT: u32 = 100;
const FULL: u32 = FLOW_LIMIT;

/// The offer, its comparisons and the assignment.
const MAX_HOPS: u32 = 2 + MAX_COMPARE_HOPS as u32;

fn agent(number: u8) -> AgentAddress {
    AgentAddress(SocketAddrV4::new(Ipv4Addr::new(127, 0, 1, number), 7_000))
}

/// The candidates that a balancer sends.
type View = Vec<u8>;

/// What the network does with one packet in transit.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Deliver,
    Duplicate,
    Lose,
}

#[derive(Clone, Copy)]
struct Packet {
    to: AgentAddress,
    purpose: CarrierPurpose,
    hops: u32,
}

struct Agent {
    own: OwnLoad,
    recent: RecentOffers,
}

/// One first flight in transit between agents.
struct Flight {
    agents: BTreeMap<AgentAddress, Agent>,
    in_transit: Vec<Packet>,
    acceptors: BTreeSet<AgentAddress>,
    refusals: u32,
    max_hops: u32,
    now_ms: u64,
}

impl Flight {
    fn new(flows: [u32; AGENTS as usize]) -> Self {
        let agents = (0..AGENTS).zip(flows).map(|(number, flows)| {
            let own = OwnLoad {
                address: agent(number),
                flows,
                flow_limit: FLOW_LIMIT,
                weight: 1,
                flow_refusal: None,
            };
            let recent = RecentOffers::new(PlacementSettings::default(), &mut Context::new(1));
            (agent(number), Agent { own, recent })
        });
        Self {
            agents: agents.collect(),
            in_transit: Vec::new(),
            acceptors: BTreeSet::new(),
            refusals: 0,
            max_hops: 0,
            now_ms: 0,
        }
    }

    fn send(&mut self, view: &View) {
        let mut agents = view.iter().copied().map(agent);
        let candidates = Candidates {
            first: agents.next().expect("a first candidate"),
            second: agents.next(),
            third: agents.next(),
        };
        self.in_transit.push(Packet {
            to: candidates.first,
            purpose: CarrierPurpose::Offer { candidates },
            hops: 1,
        });
    }

    /// Delivers packets in the order and with the fates of the schedule, then in order without
    /// loss.
    fn deliver(&mut self, schedule: &[(usize, Fate)]) {
        let mut schedule = schedule.iter();
        while !self.in_transit.is_empty() {
            let (pick, fate) = schedule.next().copied().unwrap_or((0, Fate::Deliver));
            let pick = pick % self.in_transit.len();
            let packet = match fate {
                Fate::Duplicate => self.in_transit[pick],
                Fate::Deliver => self.in_transit.remove(pick),
                Fate::Lose => {
                    self.in_transit.remove(pick);
                    continue;
                }
            };
            self.arrive(packet);
        }
    }

    fn arrive(&mut self, packet: Packet) {
        let Some(agent) = self.agents.get_mut(&packet.to) else {
            return;
        };
        if let CarrierPurpose::CompareAck { by } = packet.purpose {
            return agent.recent.note_acknowledged(by);
        }
        self.max_hops = self.max_hops.max(packet.hops);
        let offered = OfferedPacket {
            caller: SocketAddr::from(([127, 0, 0, 9], 50_000)),
            connection_id: b"first-id",
            purpose: packet.purpose,
        };
        let decision = decide_offer(&offered, &agent.own, &mut agent.recent, self.now_ms);
        match decision {
            OfferDecision::Accept => {
                self.acceptors.insert(packet.to);
            }
            OfferDecision::Refuse(_) => self.refusals += 1,
            _ => {}
        }
        let next = decision.next_hop(packet.to);
        let hops = next
            .into_iter()
            .chain(acknowledge_offer(&packet.purpose, packet.to));
        self.in_transit.extend(hops.map(|next| Packet {
            to: next.to,
            purpose: next.purpose,
            hops: packet.hops + 1,
        }));
    }
}

/// Any list, including those that no balancer draws.
fn any_view() -> impl Strategy<Value = View> {
    vec(0..AGENTS, 1..=MAX_CANDIDATES)
}

/// A list in the order that all balancers use.
fn view() -> impl Strategy<Value = View> {
    subsequence(ALL_AGENTS.to_vec(), 2..=MAX_CANDIDATES)
}

/// Two lists with at least one agent in common.
fn overlapping_views() -> impl Strategy<Value = [View; 2]> {
    [view(), view()].prop_filter("disjoint", |[one, other]| {
        one.iter().any(|number| other.contains(number))
    })
}

fn flows() -> impl Strategy<Value = [u32; AGENTS as usize]> {
    [0..9_u32, 0..9, 0..9, 0..9]
}

fn schedule(with_loss: bool) -> impl Strategy<Value = Vec<(usize, Fate)>> {
    let fate = (0..4_u8).prop_map(move |number| match number {
        0 => Fate::Duplicate,
        1 if with_loss => Fate::Lose,
        _ => Fate::Deliver,
    });
    vec((any::<usize>(), fate), 0..24)
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_flight_ends_at_one_agent_whatever_the_order(
        flows in flows(),
        views in overlapping_views(),
        packets in vec(0..2_usize, 1..4),
        schedule in schedule(false),
    ) {
        let mut flight = Flight::new(flows);
        for packet in packets {
            flight.send(&views[packet]);
        }
        flight.deliver(&schedule);
        prop_assert_eq!(flight.acceptors.len(), 1);
        prop_assert!(flight.max_hops <= MAX_HOPS);
    }

    #[test]
    fn a_flight_never_ends_at_two_agents_of_one_view(
        flows in flows(),
        view in view(),
        packets in 1..4_u8,
        schedule in schedule(true),
    ) {
        let mut flight = Flight::new(flows);
        for _ in 0..packets {
            flight.send(&view);
        }
        flight.deliver(&schedule);
        prop_assert!(flight.acceptors.len() <= 1);
    }

    #[test]
    fn a_lost_flight_is_accepted_on_a_retransmission(
        flows in flows(),
        view in view(),
        schedules in vec(schedule(true), 1..4),
    ) {
        let mut flight = Flight::new(flows);
        for schedule in schedules {
            flight.send(&view);
            flight.deliver(&schedule);
            flight.now_ms += RETRANSMISSION_MS;
        }
        flight.send(&view);
        flight.deliver(&[]);
        prop_assert!((1..=2).contains(&flight.acceptors.len()));
    }

    #[test]
    fn a_dead_candidate_after_the_first_costs_one_retransmission(
        flows in flows(),
        view in view(),
        dead in 1..MAX_CANDIDATES,
    ) {
        let mut flight = Flight::new(flows);
        flight.agents.remove(&agent(view[dead.min(view.len() - 1)]));
        flight.send(&view);
        flight.deliver(&[]);
        prop_assert!(flight.acceptors.is_empty());
        flight.now_ms += RETRANSMISSION_MS;
        flight.send(&view);
        flight.deliver(&[]);
        prop_assert_eq!(flight.acceptors.len(), 1);
    }

    #[test]
    fn hops_are_bounded_for_any_views(
        flows in flows(),
        views in vec(any_view(), 1..6),
        schedule in schedule(true),
    ) {
        let mut flight = Flight::new(flows);
        for view in &views {
            flight.send(view);
        }
        flight.deliver(&schedule);
        prop_assert!(flight.max_hops <= MAX_HOPS);
    }

    #[test]
    fn a_flight_is_refused_only_when_all_candidates_are_full(
        full in subsequence(ALL_AGENTS.to_vec(), 0..=ALL_AGENTS.len()),
        view in view(),
    ) {
        let flows = ALL_AGENTS.map(|number| if full.contains(&number) { FULL } else { 1 });
        let mut flight = Flight::new(flows);
        flight.send(&view);
        flight.deliver(&[]);
        let all_full = view.iter().all(|number| full.contains(number));
        prop_assert_eq!(flight.refusals, u32::from(all_full));
        prop_assert_eq!(flight.acceptors.len(), usize::from(!all_full));
    }

    #[test]
    fn the_least_loaded_candidate_accepts_the_flow(flows in flows(), view in view()) {
        let mut flight = Flight::new(flows);
        flight.send(&view);
        flight.deliver(&[]);
        let flows_of = |number: &u8| flows[usize::from(*number)];
        let least = view.iter().rev().min_by_key(|number| flows_of(number)).copied();
        prop_assert_eq!(flight.acceptors.first().copied(), least.map(agent));
    }
}
