use super::{fleet_settings, flow, service, service_address};
use crate::{
    address::DomainId,
    flows::{
        FleetSettings, PriorityRank, RequestKind, Route, ServiceShare, ServiceTag,
        routes::PriorityRanks,
    },
};
use std::net::SocketAddrV4;

fn settings(version: u64, revision: u64) -> FleetSettings {
    let mut settings = fleet_settings(RequestKind::Idempotent);
    settings.table.version = version;
    settings.revision = super::revision(revision);
    settings
}

#[test]
fn older_version_is_never_adopted() {
    let mut known = settings(7, 20);
    let mut older = settings(6, 30);
    older.table.routes.clear();
    known.merge_newer(older);
    assert_eq!(known.table.version, 7);
    assert!(known.table.routes.contains_key(&service_address()));
}

#[test]
fn newer_revision_brings_a_domain_back() {
    let mut known = settings(1, 10);
    known.domains_out.insert(DomainId(2));
    assert!(known.merge_newer(settings(1, 11)));
    assert!(known.domains_out.is_empty());
}

#[test]
fn older_revision_of_domains_is_ignored() {
    let mut known = settings(1, 10);
    known.domains_out.insert(DomainId(2));
    assert!(!known.merge_newer(settings(1, 9)));
    assert!(known.domains_out.contains(&DomainId(2)));
}

#[test]
fn syn_retransmissions_go_to_the_same_service() {
    let share = |name: &str, weight| ServiceShare {
        service: ServiceTag::of(name),
        weight,
    };
    let route = Route {
        kind: RequestKind::Idempotent,
        latency_goal_ms: 0,
        priority: 0,
        time_limit_ms: 0,
        shares: vec![share("a", 90), share("b", 10)],
    };
    let to_b = (1..=10_000)
        .filter(|port| route.service_for(&flow(*port)) == Some(ServiceTag::of("b")))
        .count();
    assert_eq!(route.service_for(&flow(5)), route.service_for(&flow(5)));
    assert!((900..1_100).contains(&to_b), "{to_b} of 10,000 flows");
}

#[test]
fn route_without_weight_takes_no_flow() {
    let route = Route {
        kind: RequestKind::Idempotent,
        latency_goal_ms: 0,
        priority: 0,
        time_limit_ms: 0,
        shares: vec![ServiceShare {
            service: service(),
            weight: 0,
        }],
    };
    assert_eq!(route.service_for(&flow(1)), None);
}

/// Guards against ranks that a balancer computes in advance and that differ from those of the route
/// table.
#[test]
fn priorities_are_ranked_among_the_routes_to_one_service() {
    let mut table = fleet_settings(RequestKind::Idempotent).table;
    let route_of = |priority, name: &str| Route {
        priority,
        shares: vec![ServiceShare {
            service: ServiceTag::of(name),
            weight: 1,
        }],
        ..Route::default()
    };
    for (port, priority, name) in [(1, 1, "a"), (2, 4, "a"), (3, 4, "a"), (4, 0, "b")] {
        let address = SocketAddrV4::new(*service_address().ip(), port);
        table.routes.insert(address, route_of(priority, name));
    }
    let ranks = PriorityRanks::new(&table);
    let rank = |name, priority| {
        let service = ServiceTag::of(name);
        let rank = table.priority_rank(service, priority);
        assert_eq!(ranks.rank(service, priority), rank);
        rank
    };
    assert_eq!(
        rank("a", 1),
        PriorityRank {
            level: 0,
            levels: 2
        }
    );
    assert_eq!(
        rank("a", 4),
        PriorityRank {
            level: 1,
            levels: 2
        }
    );
    assert_eq!(rank("b", 0), PriorityRank::default());
}
