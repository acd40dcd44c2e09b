mod pause;

use super::{
    DeadAgent, MIN_RESET_BYTES, RESET_TOKEN_BYTES, ResetRateLimiter, SteeringDecision,
    SteeringSettings, SteeringTable, reset_key, stateless_reset,
};
use crate::{
    address::{AgentAddress, DomainId, Incarnation, ServiceId},
    codes::ResultCode,
    context::Context,
    crypto::{ClusterKey, SipHashKey},
    membership::{AgentPhase, AgentRecord},
    settings::{ServiceRecord, ServiceView, SettingsView},
    token::{FlowKey, FlowKeys, FlowToken, TOKEN_BYTES},
    wire::CarrierPurpose,
};
use proptest::{
    collection::vec,
    prelude::{ProptestConfig, any, prop_assert, proptest},
    test_runner::RngSeed,
};
use ring::hmac;
use rstest::rstest;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

const SERVICE: ServiceId = ServiceId(7);
const FOREIGN: ServiceId = ServiceId(8);
const EMPTY: ServiceId = ServiceId(9);
const OUT: DomainId = DomainId(3);
const LIVE: u8 = 1;
const DEAD: u8 = 2;
const UNKNOWN: u8 = 3;
const VERSION_1: u32 = 1;
const INITIAL: u8 = 0xc0;
const ZERO_RTT: u8 = 0xd0;
const HANDSHAKE: u8 = 0xe0;
const RETRY: u8 = 0xf0;

fn agent(number: u8) -> AgentAddress {
    AgentAddress(SocketAddrV4::new(Ipv4Addr::new(127, 0, 1, number), 7_000))
}

fn caller() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 9], 50_000))
}

fn key(id: u8) -> FlowKey {
    FlowKey {
        id,
        secret: SipHashKey([id; 16]),
    }
}

fn service_view(id: ServiceId) -> ServiceView {
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, id.0);
    let record = serde_json::json!({"address": address, "id": id});
    let record: ServiceRecord = serde_json::from_value(record).expect("valid record");
    ServiceView {
        path: format!("teams/a/services/{id}"),
        record,
    }
}

fn record(number: u8, service: ServiceId) -> AgentRecord {
    AgentRecord {
        address: agent(number),
        service,
        domain: DomainId(1),
        incarnation: Incarnation(5),
        revision: 1,
        weight: 1,
        phase: AgentPhase::Serving,
    }
}

fn table() -> SteeringTable {
    let mut view = SettingsView {
        flow_keys: Some(FlowKeys {
            current: key(1),
            previous: Some(key(2)),
        }),
        ..SettingsView::default()
    };
    view.domains_out.insert(OUT);
    for id in [SERVICE, FOREIGN, EMPTY] {
        view.services.insert(id, service_view(id));
    }
    let dead = DeadAgent {
        address: agent(DEAD),
        incarnation: Incarnation(5),
    };
    let records = [
        record(LIVE, SERVICE),
        record(DEAD, SERVICE),
        record(20, FOREIGN),
    ];
    SteeringTable::build(&view, &records, &[dead])
}

fn token(number: u8) -> FlowToken {
    FlowToken {
        agent: agent(number),
        service: SERVICE,
        domain: DomainId(1),
        incarnation_low: 5,
        nonce: [1, 2, 3],
    }
}

fn foreign(number: u8) -> FlowToken {
    FlowToken {
        service: FOREIGN,
        ..token(number)
    }
}

fn outside(number: u8) -> FlowToken {
    FlowToken {
        domain: OUT,
        ..token(number)
    }
}

fn later_run(number: u8) -> FlowToken {
    FlowToken {
        incarnation_low: 6,
        ..token(number)
    }
}

fn short(connection_id: &[u8]) -> Vec<u8> {
    let mut datagram = vec![0x40];
    datagram.extend_from_slice(connection_id);
    datagram.resize(60, 0);
    datagram
}

fn long(first_byte: u8, version: u32, connection_id: &[u8], length_bytes: usize) -> Vec<u8> {
    let mut datagram = vec![first_byte];
    datagram.extend_from_slice(&version.to_be_bytes());
    datagram.push(connection_id.len() as u8);
    datagram.extend_from_slice(connection_id);
    datagram.resize(length_bytes, 0);
    datagram
}

fn opening(connection_id: &[u8]) -> Vec<u8> {
    long(INITIAL, VERSION_1, connection_id, 1_200)
}

fn steer(datagram: &[u8]) -> SteeringDecision {
    table().steer(SERVICE, &caller(), datagram)
}

#[rstest]
#[case::current_key(1)]
#[case::previous_key(2)]
fn a_packet_with_a_token_goes_to_its_agent(#[case] key_id: u8) {
    let id = token(LIVE).encode(&key(key_id));
    let expected = SteeringDecision::Forward {
        agent: agent(LIVE),
        purpose: CarrierPurpose::Established,
    };
    assert_eq!(steer(&short(&id)), expected);
    assert_eq!(steer(&long(HANDSHAKE, VERSION_1, &id, 60)), expected);
    assert_eq!(steer(&opening(&id)), expected);
}

#[rstest]
#[case::not_in_the_view(token(UNKNOWN))]
#[case::another_run_of_a_dead_agent(later_run(DEAD))]
fn a_token_of_an_unknown_agent_or_run_is_forwarded(#[case] token: FlowToken) {
    let expected = SteeringDecision::Forward {
        agent: token.agent,
        purpose: CarrierPurpose::Established,
    };
    assert_eq!(steer(&short(&token.encode(&key(1)))), expected);
}

#[rstest]
#[case::out_domain(outside(LIVE), ResultCode::TokenDomainOut)]
#[case::dead_agent(token(DEAD), ResultCode::TargetDead)]
fn a_flow_that_has_ended_is_reset(#[case] token: FlowToken, #[case] code: ResultCode) {
    let connection_id = token.encode(&key(1));
    let expected = SteeringDecision::Reset {
        connection_id,
        code,
    };
    assert_eq!(steer(&short(&connection_id)), expected);
    let handshake = long(HANDSHAKE, VERSION_1, &connection_id, 60);
    assert_eq!(steer(&handshake), SteeringDecision::Drop(code));
}

#[rstest]
#[case::empty(vec![], ResultCode::Malformed)]
#[case::one_byte(vec![0x40], ResultCode::Malformed)]
#[case::short_truncated(short(&[0; 20])[..20].to_vec(), ResultCode::Malformed)]
#[case::long_truncated(opening(&[0; 8])[..13].to_vec(), ResultCode::Malformed)]
#[case::long_without_length(vec![INITIAL, 0, 0, 0, 1], ResultCode::Malformed)]
#[case::version_negotiation(long(INITIAL, 0, &[0; 8], 1_200), ResultCode::Malformed)]
#[case::initial_id_too_short(opening(&[0; 7]), ResultCode::Malformed)]
#[case::id_too_long(opening(&[0; 21]), ResultCode::Malformed)]
#[case::small_initial(long(INITIAL, VERSION_1, &[0; 8], 1_199), ResultCode::BadToken)]
#[case::small_unknown_version(long(INITIAL, 9, &[0; 8], 1_199), ResultCode::BadToken)]
#[case::handshake(long(HANDSHAKE, VERSION_1, &[0; 8], 1_200), ResultCode::BadToken)]
#[case::retry(long(RETRY, VERSION_1, &[0; 8], 1_200), ResultCode::BadToken)]
#[case::random(short(&[0xa5; 20]), ResultCode::BadToken)]
#[case::revoked_key(short(&token(LIVE).encode(&key(3))), ResultCode::BadToken)]
#[case::foreign_token(short(&foreign(20).encode(&key(1))), ResultCode::ForeignService)]
#[case::foreign_out(
    short(&FlowToken { domain: OUT, ..foreign(20) }.encode(&key(1))),
    ResultCode::ForeignService
)]
fn a_bad_datagram_is_dropped(#[case] datagram: Vec<u8>, #[case] code: ResultCode) {
    assert_eq!(steer(&datagram), SteeringDecision::Drop(code));
}

#[test]
fn a_token_with_any_byte_changed_is_dropped() {
    let id = token(LIVE).encode(&key(1));
    for at in 0..TOKEN_BYTES {
        let mut forged = id;
        forged[at] ^= 0x11;
        assert_eq!(
            steer(&short(&forged)),
            SteeringDecision::Drop(ResultCode::BadToken)
        );
    }
}

#[rstest]
#[case::initial(opening(&[5; 8]))]
#[case::zero_rtt(long(ZERO_RTT, VERSION_1, &[5; 8], 1_200))]
#[case::unknown_version(long(RETRY, 0x6b33_43cf, &[5; 30], 1_200))]
#[case::forged_token(opening(&[0xa5; 20]))]
fn a_first_packet_is_offered_to_a_live_agent(#[case] datagram: Vec<u8>) {
    let SteeringDecision::Forward {
        agent: first,
        purpose,
    } = steer(&datagram)
    else {
        panic!("not forwarded: {:?}", steer(&datagram));
    };
    assert_eq!(first, agent(LIVE));
    assert!(matches!(purpose, CarrierPurpose::Offer { candidates } if candidates.second.is_none()));
}

#[rstest]
#[case::without_targets(EMPTY, ResultCode::NoTarget)]
#[case::unknown(ServiceId(99), ResultCode::UnknownService)]
fn a_first_packet_without_a_target_is_dropped(
    #[case] service: ServiceId,
    #[case] code: ResultCode,
) {
    let decision = table().steer(service, &caller(), &opening(&[5; 8]));
    assert_eq!(decision, SteeringDecision::Drop(code));
}

#[rstest]
#[case::shortest(MIN_RESET_BYTES + 1)]
#[case::short(30)]
#[case::long(1_200)]
fn a_reset_ends_in_the_reset_token_of_the_library(#[case] trigger_bytes: usize) {
    let key = reset_key(&ClusterKey::new([7; 32]));
    let id = token(DEAD).encode(&self::key(1));
    let reset = stateless_reset(&id, &key, &mut Context::new(1).rng, trigger_bytes);
    let reset = reset.expect("the trigger is long enough");
    let bytes = reset.as_bytes();
    assert!(bytes.len() >= MIN_RESET_BYTES && bytes.len() < trigger_bytes);
    assert_eq!(bytes[0] & 0xc0, 0x40);
    let signature = hmac::sign(&key, &id);
    assert!(bytes.ends_with(&signature.as_ref()[..RESET_TOKEN_BYTES]));
}

#[rstest]
#[case(0)]
#[case(MIN_RESET_BYTES)]
fn a_packet_too_short_for_a_reset_gets_none(#[case] trigger_bytes: usize) {
    let key = reset_key(&ClusterKey::new([7; 32]));
    let reset = stateless_reset(&[1; 20], &key, &mut Context::new(1).rng, trigger_bytes);
    assert_eq!(reset, None);
}

#[test]
fn resets_are_limited_to_the_burst_and_the_rate() {
    let settings = SteeringSettings {
        reset_limit_per_s: 10,
        reset_burst: 3,
        ..SteeringSettings::default()
    };
    let mut limit = ResetRateLimiter::new(settings, 0);
    let mut sent = |now_ms| (0..100).filter(|_| limit.allow(now_ms)).count();
    assert_eq!(sent(0), 3);
    assert_eq!(sent(50), 0);
    assert_eq!(sent(200), 2);
    assert_eq!(sent(100), 0);
    assert_eq!(sent(1_000_000), 3);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_bytes_lead_to_another_service(
        mut datagram in vec(any::<u8>(), 0..1_300),
        with_token in any::<bool>(),
        is_long in any::<bool>(),
        number in 0..30_u8,
        is_foreign in any::<bool>(),
    ) {
        let token = if is_foreign { foreign(number) } else { token(number) };
        let id_at = if is_long { 6 } else { 1 };
        if with_token && datagram.len() >= id_at + TOKEN_BYTES {
            datagram[0] = if is_long { INITIAL } else { 0x40 };
            datagram[id_at - 1] = if is_long { TOKEN_BYTES as u8 } else { 0x40 };
            datagram[id_at..id_at + TOKEN_BYTES].copy_from_slice(&token.encode(&key(1)));
        }
        if let SteeringDecision::Forward { agent: reached, purpose } = steer(&datagram) {
            let by_token = purpose == CarrierPurpose::Established && with_token && !is_foreign;
            prop_assert!(by_token || reached == agent(LIVE));
        }
    }
}
