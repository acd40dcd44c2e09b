use super::{DomainPhase, DomainSettings, DomainTracker};
use crate::{
    address::{AgentAddress, DomainId, Incarnation, ServiceId},
    crypto::SipHashKey,
    membership::{AgentPhase, AgentRecord},
    settings::{DomainSet, ServiceRecord, ServiceView, SettingsView},
    steering::{SteeringDecision, SteeringTable},
    token::{FlowKey, FlowKeys, FlowToken},
};
use rstest::rstest;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

const DOMAIN: DomainId = DomainId(3);
const SERVICE: ServiceId = ServiceId(7);
const KEY: FlowKey = FlowKey {
    id: 1,
    secret: SipHashKey([1; 16]),
};
const TOKEN_PACKET_BYTES: usize = 60;

fn out(is_out: bool) -> DomainSet {
    let mut set = DomainSet::default();
    if is_out {
        set.insert(DOMAIN);
    }
    set
}

fn tracker(is_out: bool) -> DomainTracker {
    DomainTracker::new(DomainSettings::default(), out(is_out))
}

fn agent() -> AgentRecord {
    AgentRecord {
        address: AgentAddress(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7_000)),
        service: SERVICE,
        domain: DOMAIN,
        incarnation: Incarnation(1),
        revision: 0,
        weight: 16,
        phase: AgentPhase::Serving,
    }
}

fn table(tracker: &DomainTracker, now_ms: u64) -> SteeringTable {
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 443);
    let record = serde_json::json!({"address": address, "id": SERVICE});
    let record: ServiceRecord = serde_json::from_value(record).expect("valid record");
    let mut view = SettingsView {
        flow_keys: Some(FlowKeys {
            current: KEY,
            previous: None,
        }),
        ..SettingsView::default()
    };
    let path = "teams/a/services/b".to_owned();
    view.services.insert(SERVICE, ServiceView { path, record });
    SteeringTable::build_with_domain_phases(&view, tracker.phases(now_ms), &[agent()], &[])
}

fn steer_flow(table: &SteeringTable) -> SteeringDecision {
    let token = FlowToken {
        agent: agent().address,
        service: SERVICE,
        domain: DOMAIN,
        incarnation_low: 1,
        nonce: [0; 3],
    };
    let mut packet = [0; TOKEN_PACKET_BYTES];
    packet[0] = 0x40;
    packet[1..21].copy_from_slice(&token.encode(&KEY));
    let caller = SocketAddr::from((Ipv4Addr::LOCALHOST, 50_000));
    table.steer(SERVICE, &caller, &packet)
}

fn places_flows(table: &SteeringTable) -> bool {
    table
        .targets(SERVICE)
        .is_some_and(|targets| !targets.is_empty())
}

#[rstest]
#[case::closing(0, DomainPhase::Closing)]
#[case::closing_ends(499, DomainPhase::Closing)]
#[case::resetting(500, DomainPhase::Resetting)]
#[case::long_out(20_000, DomainPhase::Out)]
fn domain_taken_out_goes_through_its_phases(#[case] age_ms: u64, #[case] phase: DomainPhase) {
    let mut tracker = tracker(false);
    tracker.update(out(true), 1_000);
    assert_eq!(tracker.phases(1_000 + age_ms).of(DOMAIN), phase);
}

#[rstest]
#[case::held(2_999, DomainPhase::Held)]
#[case::serving(3_000, DomainPhase::Serving)]
fn returned_domain_is_held_before_it_serves(#[case] age_ms: u64, #[case] phase: DomainPhase) {
    let mut tracker = tracker(true);
    assert_eq!(tracker.phases(0).of(DOMAIN), DomainPhase::Out);
    tracker.update(out(false), 1_000);
    assert_eq!(tracker.phases(1_000 + age_ms).of(DOMAIN), phase);
}

#[test]
fn flow_placed_after_the_return_is_not_reset_by_a_balancer_that_lags() {
    let mut lagging = tracker(false);
    lagging.update(out(true), 0);
    let mut informed = tracker(false);
    informed.update(out(true), 0);
    informed.update(out(false), 30_000);
    // The informed balancer places no flows in the domain while the other may still drop their
    // packets.
    assert!(!places_flows(&table(&informed, 30_100)));
    assert!(places_flows(&table(&informed, 33_100)));
    assert!(matches!(
        steer_flow(&table(&informed, 30_100)),
        SteeringDecision::Forward { .. }
    ));
    assert!(matches!(
        steer_flow(&table(&lagging, 33_100)),
        SteeringDecision::Drop(_)
    ));
}

#[test]
fn agents_of_a_domain_taken_out_get_packets_before_their_flows_are_reset() {
    let mut tracker = tracker(false);
    tracker.update(out(true), 0);
    let closing = table(&tracker, 100);
    assert!(matches!(
        steer_flow(&closing),
        SteeringDecision::Forward { .. }
    ));
    assert!(!places_flows(&closing));
    let resetting = table(&tracker, 600);
    assert!(matches!(
        steer_flow(&resetting),
        SteeringDecision::Reset { .. }
    ));
}
