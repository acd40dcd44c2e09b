//! Tests of the targets that a balancer draws for a new flow.

use super::{agent, caller};
use crate::{
    address::{AgentAddress, DomainId, Incarnation, ServiceId},
    membership::{AgentPhase, AgentRecord},
    placement::ServiceTargets,
    settings::DomainSet,
};
use proptest::{
    collection::vec,
    prelude::{Just, ProptestConfig, Strategy, any, prop_assert_eq, proptest},
    test_runner::RngSeed,
};
use rstest::rstest;
use std::net::SocketAddr;

const SERVICE: ServiceId = ServiceId(7);

fn record(number: u8) -> AgentRecord {
    AgentRecord {
        address: agent(number),
        service: SERVICE,
        domain: DomainId(number % 3),
        incarnation: Incarnation(1),
        revision: 1,
        weight: 1,
        phase: AgentPhase::Serving,
    }
}

#[test]
fn targets_that_take_no_new_flows_are_left_out() {
    let mut out = DomainSet::default();
    out.insert(DomainId(0));
    let mut records: Vec<_> = (1..=5).map(record).collect();
    records[0].phase = AgentPhase::Draining;
    records[1].phase = AgentPhase::Down;
    let targets = ServiceTargets::from_records(SERVICE, &records, &out);
    assert_eq!(targets.len(), 2);
}

fn candidates_of(records: &[AgentRecord], number: u32) -> Vec<AgentAddress> {
    let targets = ServiceTargets::from_records(SERVICE, records, &DomainSet::default());
    let candidates = targets.candidates(&caller(), &number.to_be_bytes());
    let candidates = candidates.expect("some targets");
    [Some(candidates.first), candidates.second, candidates.third]
        .into_iter()
        .flatten()
        .collect()
}

/// Three of four targets are drawn: the one left out is the last of a weighted draw.
#[rstest]
#[case::equal([1, 1, 1, 1], [0.25, 0.25, 0.25, 0.25])]
#[case::one_heavy([1, 1, 1, 7], [0.326, 0.326, 0.326, 0.021])]
fn targets_are_drawn_by_weight(#[case] weights: [u8; 4], #[case] left_out: [f64; 4]) {
    const DRAWS: u32 = 8_000;
    let mut records: Vec<_> = (0..4).map(record).collect();
    for (record, weight) in records.iter_mut().zip(weights) {
        record.weight = weight;
    }
    let mut times_left_out = [0_u32; 4];
    for number in 0..DRAWS {
        let drawn = candidates_of(&records, number);
        for (place, record) in records.iter().enumerate() {
            times_left_out[place] += u32::from(!drawn.contains(&record.address));
        }
    }
    for (times, expected) in times_left_out.into_iter().zip(left_out) {
        let share = f64::from(times) / f64::from(DRAWS);
        assert!((share - expected).abs() < 0.02, "{times_left_out:?}");
    }
}

#[test]
fn a_new_weight_keeps_the_order_of_candidates() {
    let records: Vec<_> = (1..=3).map(record).collect();
    let mut changed = records.clone();
    changed[0].weight = 9;
    for number in 0..100 {
        assert_eq!(
            candidates_of(&records, number),
            candidates_of(&changed, number)
        );
    }
}

#[test]
fn a_removed_target_keeps_the_order_of_other_candidates() {
    let records: Vec<_> = (1..=4).map(record).collect();
    for number in 0..100 {
        let before = candidates_of(&records, number);
        let after = candidates_of(&records[1..], number);
        let kept = |drawn: &[AgentAddress], other: &[AgentAddress]| -> Vec<_> {
            drawn
                .iter()
                .copied()
                .filter(|agent| other.contains(agent))
                .collect()
        };
        assert_eq!(kept(&before, &after), kept(&after, &before));
    }
}

#[test]
fn the_latest_record_of_an_address_counts() {
    let old = record(1);
    let new = AgentRecord {
        revision: 2,
        phase: AgentPhase::Draining,
        ..old
    };
    let restarted = AgentRecord {
        incarnation: Incarnation(2),
        ..old
    };
    let len = |records: &[AgentRecord]| {
        ServiceTargets::from_records(SERVICE, records, &DomainSet::default()).len()
    };
    assert_eq!((len(&[old, new]), len(&[new, old])), (0, 0));
    assert_eq!(len(&[restarted, new, old]), 1);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_order_of_records_does_not_matter(
        records in vec(any_record(), 1..12).prop_flat_map(|records| {
            (Just(records.clone()), Just(records).prop_shuffle())
        }),
        connection_id in vec(any::<u8>(), 0..20),
        port in any::<u16>(),
    ) {
        let (records, shuffled) = records;
        let caller = SocketAddr::from(([127, 0, 0, 9], port));
        let draw = |records: &[AgentRecord]| {
            ServiceTargets::from_records(SERVICE, records, &DomainSet::default())
                .candidates(&caller, &connection_id)
        };
        prop_assert_eq!(draw(&records), draw(&shuffled));
    }
}

fn any_record() -> impl Strategy<Value = AgentRecord> {
    (0..6_u8, 0..3_u32, 0..3_u16, 0..5_u8, 0..3_u8).prop_map(
        |(number, incarnation, revision, weight, phase)| AgentRecord {
            incarnation: Incarnation(incarnation),
            revision,
            weight,
            phase: [AgentPhase::Serving, AgentPhase::Draining, AgentPhase::Down]
                [usize::from(phase)],
            ..record(number)
        },
    )
}
