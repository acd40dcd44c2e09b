//! The store is restored from a copy some seconds old: what it has acknowledged since is gone, and
//! its revisions are given out again.

use super::{
    FLOW_MAX_AGE_MS, agent_ip, balancer_ip, balancer_with, context, fleet_settings, new_agent,
    report, syn,
};
use crate::{
    address::DomainId,
    context::Context,
    flows::{
        AgentReport, BalancerFlows, FleetSettings, ProcessIncarnation, ReportReply, RequestKind,
        StoreRevision, TargetPhase,
        balancer::{BalancerIdentity, Verdict, WatchTimes},
    },
};
use rstest::rstest;
use std::collections::BTreeSet;

const DOMAIN: DomainId = DomainId(2);

/// Longer than a domain is held without a record.
const LONG_AFTER_MS: u64 = 60_000;

fn settings(era: u64, number: u64, version: u64, is_domain_out: bool) -> FleetSettings {
    let mut settings = fleet_settings(RequestKind::Idempotent);
    settings.table.version = version;
    settings.revision = StoreRevision { era, number };
    settings.domains_out = is_domain_out.then_some(DOMAIN).into_iter().collect();
    settings
}

/// A balancer whose only agent is in the domain.
fn balancer_in_era_1(is_domain_out: bool) -> (BalancerFlows, Context) {
    let (mut balancer, ctx) = balancer_with(0, RequestKind::Idempotent);
    balancer.on_fleet_settings(settings(1, 500, 7, is_domain_out), &ctx);
    (balancer, ctx)
}

/// Returns whether new flows are sent to the domain.
fn is_used(balancer: &mut BalancerFlows, now_ms: u64) -> bool {
    let ctx = context(now_ms);
    let from_domain = AgentReport {
        domain: DOMAIN,
        ..report(TargetPhase::Serving)
    };
    balancer.on_report(agent_ip(1), from_domain, &ctx);
    let port = 1_000 + (now_ms % 50_000) as u16;
    let verdict = balancer.on_packet(&syn(super::flow(port), 0), &ctx);
    let is_forwarded = matches!(verdict, Verdict::Forward(_));
    assert_eq!(
        is_forwarded,
        !balancer
            .reply_to(agent_ip(1), &from_domain, &ctx)
            .is_domain_out
    );
    is_forwarded
}

#[rstest]
#[case::higher_number_of_the_same_era((1, 5), (1, 6), true)]
#[case::lower_number_of_the_same_era((1, 5), (1, 4), false)]
#[case::lower_number_of_a_later_era((1, 500), (2, 4), true)]
#[case::same_number_of_a_later_era((1, 5), (2, 5), true)]
#[case::higher_number_of_a_former_era((2, 5), (1, 900), false)]
fn era_is_compared_before_the_revision(
    #[case] known: (u64, u64),
    #[case] offered: (u64, u64),
    #[case] is_newer: bool,
) {
    let mut fleet = settings(known.0, known.1, 1, false);
    fleet.merge_newer(settings(offered.0, offered.1, 1, true));
    assert_eq!(fleet.domains_out.contains(&DOMAIN), is_newer);

    let reply = |(era, number), is_domain_out| ReportReply {
        incarnation: ProcessIncarnation(1),
        version: 1,
        revision: StoreRevision { era, number },
        is_domain_out,
        limits: None,
        balancers_hash: 0,
        former_report_age_ms: None,
    };
    let mut agent = new_agent();
    agent.on_reply(&reply(known, false), &context(0));
    agent.on_reply(&reply(offered, true), &context(0));
    assert_eq!(agent.is_domain_out(), is_newer);
}

#[test]
fn configuration_of_an_older_copy_is_not_put_in_force() {
    let (mut balancer, ctx) = balancer_in_era_1(false);
    balancer.on_fleet_settings(settings(2, 40, 6, false), &ctx);
    assert_eq!(balancer.fleet().table.version, 7);
    balancer.on_fleet_settings(settings(2, 41, 8, false), &ctx);
    assert_eq!(balancer.fleet().table.version, 8);
}

/// The copy is older than the operators' record; they write it again some seconds later, and
/// remove it when the work in the domain is done.
#[test]
fn domain_stays_out_until_the_new_era_says_otherwise() {
    let (mut balancer, ctx) = balancer_in_era_1(true);
    balancer.on_fleet_settings(settings(2, 40, 7, false), &ctx);
    assert!(!is_used(&mut balancer, ctx.now_ms + 5));
    balancer.on_fleet_settings(settings(2, 41, 7, true), &context(14_000));
    assert!(balancer.held_domains().is_empty());
    assert!(!is_used(&mut balancer, LONG_AFTER_MS));
    balancer.on_fleet_settings(settings(2, 42, 7, false), &context(LONG_AFTER_MS + 10));
    assert!(is_used(&mut balancer, LONG_AFTER_MS + 20));
}

/// The operators have brought the domain back while the store was away.
#[test]
fn domain_without_a_record_in_the_new_era_returns_after_a_while() {
    let (mut balancer, ctx) = balancer_in_era_1(true);
    balancer.on_fleet_settings(settings(2, 40, 7, false), &ctx);
    let early = balancer.on_tick(&context(ctx.now_ms + 9_000));
    assert!(early.released_domains.is_empty());
    let late = balancer.on_tick(&context(ctx.now_ms + 10_000));
    assert_eq!(late.released_domains, BTreeSet::from([DOMAIN]));
    assert!(is_used(&mut balancer, LONG_AFTER_MS));
}

/// Guards against a domain that stays out as long as the store is restored again and again.
#[test]
fn second_restore_does_not_prolong_the_hold_of_a_domain_without_a_record() {
    let (mut balancer, ctx) = balancer_in_era_1(true);
    balancer.on_fleet_settings(settings(2, 40, 7, false), &ctx);
    let again = context(ctx.now_ms + 5_000);
    balancer.on_fleet_settings(settings(3, 40, 7, false), &again);
    let late = balancer.on_tick(&context(ctx.now_ms + 10_000));
    assert_eq!(late.released_domains, BTreeSet::from([DOMAIN]));
}

/// Guards against a domain that stays out although operators have removed its record in the new era.
#[test]
fn removed_record_in_the_new_era_brings_the_domain_back() {
    let (mut balancer, ctx) = balancer_in_era_1(true);
    balancer.on_fleet_settings(settings(2, 40, 7, false), &ctx);
    assert!(!is_used(&mut balancer, ctx.now_ms + 5));
    let mut removed = settings(2, 41, 7, false);
    removed.domains_back.insert(DOMAIN);
    balancer.on_fleet_settings(removed, &context(ctx.now_ms + 500));
    assert!(is_used(&mut balancer, ctx.now_ms + 505));
}

/// The copy was taken while the domain was out; it is back since.
#[test]
fn record_in_the_copy_takes_the_domain_out() {
    let (mut balancer, ctx) = balancer_in_era_1(false);
    balancer.on_fleet_settings(settings(2, 40, 7, true), &ctx);
    assert!(!is_used(&mut balancer, ctx.now_ms + 5));
}

#[test]
fn second_restore_holds_the_domain_again() {
    let (mut balancer, ctx) = balancer_in_era_1(true);
    balancer.on_fleet_settings(settings(2, 40, 7, false), &ctx);
    balancer.on_fleet_settings(settings(2, 41, 7, true), &context(12_000));
    balancer.on_fleet_settings(settings(3, 30, 7, false), &context(13_000));
    assert!(!is_used(&mut balancer, 13_010));
}

/// What can reach a balancer around a restore, in any order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Event {
    /// The listing of the copy, in which the domain is in and the configuration is older.
    Listing,
    /// The operators' writes after it: the domain is out again, the configuration as before.
    Rewrite,
    /// A heartbeat's worth of settings from a peer that is still in the former era.
    FormerPeer,
    /// The same from a peer that has read the new era's rewritten records.
    LaterPeer,
}

impl Event {
    fn settings(self) -> FleetSettings {
        match self {
            Self::Listing => settings(2, 40, 6, false),
            Self::Rewrite | Self::LaterPeer => settings(2, 42, 7, true),
            Self::FormerPeer => settings(1, 500, 7, true),
        }
    }
}

/// In every order of these events the domain is never used and the configuration never older than
/// the one in force.
#[test]
fn no_order_of_restore_rewrite_and_peers_sends_to_the_domain() {
    const EVENTS: [Event; 4] = [
        Event::Listing,
        Event::Rewrite,
        Event::FormerPeer,
        Event::LaterPeer,
    ];
    let mut orders = 0;
    for code in 0..4_usize.pow(4) {
        let order: Vec<Event> = (0..4)
            .map(|place| EVENTS[code / 4_usize.pow(place) % 4])
            .collect();
        let (mut balancer, mut ctx) = balancer_in_era_1(true);
        for event in &order {
            ctx = context(ctx.now_ms + 500);
            balancer.on_fleet_settings(event.settings(), &ctx);
            balancer.on_tick(&ctx);
            assert!(!is_used(&mut balancer, ctx.now_ms), "{order:?}");
            assert_eq!(balancer.fleet().table.version, 7, "{order:?}");
        }
        orders += 1;
    }
    assert_eq!(orders, 256);
}

/// A balancer that starts after the restore knows only the copy until a peer tells it more.
#[test]
fn new_balancer_takes_the_later_configuration_from_a_peer() {
    let identity = BalancerIdentity {
        ip: balancer_ip(3),
        domain: DomainId(0),
        incarnation: ProcessIncarnation(3),
        watch_times: WatchTimes::default(),
        flow_max_age_ms: FLOW_MAX_AGE_MS,
    };
    let ctx = context(0);
    let mut balancer = BalancerFlows::new(crate::flows::FlowSettings::default(), identity, &ctx);
    balancer.on_fleet_settings(settings(2, 40, 6, false), &ctx);
    let (mut peer, _) = balancer_in_era_1(false);
    peer.on_fleet_settings(settings(2, 40, 6, false), &ctx);
    balancer.on_fleet_settings(peer.fleet().clone(), &ctx);
    assert_eq!(balancer.fleet().table.version, 7);
}
