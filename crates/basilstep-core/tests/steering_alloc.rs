//! Checks that steering does not allocate; a counting allocator needs its own test binary.
#![allow(unsafe_code)]

use basilstep_core::{
    address::{AgentAddress, DomainId, Incarnation, ServiceId},
    codes::ResultCode,
    crypto::SipHashKey,
    membership::{AgentPhase, AgentRecord},
    settings::{ServiceRecord, ServiceView, SettingsView},
    steering::{SteeringDecision, SteeringTable},
    token::{FlowKey, FlowKeys, FlowToken},
};
use std::{
    alloc::{GlobalAlloc, Layout, System},
    cell::Cell,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
};

const SERVICE: ServiceId = ServiceId(1);
const OUT: DomainId = DomainId(9);
const TARGETS: u8 = 7;
const KEY: FlowKey = FlowKey {
    id: 1,
    secret: SipHashKey([1; 16]),
};

thread_local! {
    static ALLOCATIONS: Cell<u64> = const { Cell::new(0) };
}

struct CountingAllocator;

// SAFETY: each call is forwarded unchanged to the system allocator; the counter is a thread-local
// cell, which does not allocate.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.with(|count| count.set(count.get() + 1));
        // SAFETY: the caller upholds the contract of `GlobalAlloc::alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        // SAFETY: the pointer came from `System.alloc` with this layout.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn agent(number: u8) -> AgentAddress {
    AgentAddress(SocketAddrV4::new(Ipv4Addr::new(127, 0, 1, number), 7_000))
}

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

fn table() -> SteeringTable {
    let record_text = r#"{"address": "127.0.0.1:443", "id": 1}"#;
    let service: ServiceRecord = serde_json::from_str(record_text).expect("valid record");
    let mut view = SettingsView {
        flow_keys: Some(FlowKeys {
            current: KEY,
            previous: None,
        }),
        ..SettingsView::default()
    };
    view.domains_out.insert(OUT);
    let service = ServiceView {
        path: "teams/a/services/b".to_owned(),
        record: service,
    };
    view.services.insert(SERVICE, service);
    let records: Vec<_> = (0..TARGETS).map(record).collect();
    SteeringTable::build(&view, &records, &[])
}

fn short(service: ServiceId, domain: DomainId) -> Vec<u8> {
    let token = FlowToken {
        agent: agent(1),
        service,
        domain,
        incarnation_low: 1,
        nonce: [0; 3],
    };
    let mut datagram = vec![0x40];
    datagram.extend_from_slice(&token.encode(&KEY));
    datagram.resize(200, 0);
    datagram
}

fn opening() -> Vec<u8> {
    let mut datagram = vec![0xc0, 0, 0, 0, 1, 8];
    datagram.resize(1_200, 5);
    datagram
}

#[test]
fn steering_allocates_nothing() {
    let table = table();
    let caller = SocketAddr::from(([127, 0, 0, 9], 50_000));
    let datagrams = [
        short(SERVICE, DomainId(1)),
        short(ServiceId(2), DomainId(1)),
        short(SERVICE, OUT),
        opening(),
        vec![0xa5; 300],
        vec![0x40; 3],
    ];
    let mut steered = [SteeringDecision::Drop(ResultCode::Done); 6];
    let before = ALLOCATIONS.get();
    for (datagram, decision) in datagrams.iter().zip(&mut steered) {
        *decision = table.steer(SERVICE, &caller, datagram);
    }
    let allocations = ALLOCATIONS.get() - before;
    assert_eq!(allocations, 0, "{steered:?}");
    assert!(matches!(steered[0], SteeringDecision::Forward { .. }));
    assert!(matches!(steered[2], SteeringDecision::Reset { .. }));
    assert!(matches!(steered[3], SteeringDecision::Forward { .. }));
    assert!(before > 0, "the allocator counts");
}
