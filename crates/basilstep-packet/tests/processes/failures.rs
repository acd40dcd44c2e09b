//! Planned stops and stalls of processes while requests are under way.

use super::{
    fleet::entry,
    support::{
        caller::Caller,
        fleet::Fleet,
        packet::{Packet, RST},
    },
};
use rustix::process::Signal;
use std::{sync::atomic::Ordering, time::Duration};
use tokio::{task::JoinSet, time::sleep};

/// Each of these balancers chooses by itself which of its sockets it reads first, so that a fault
/// that depends on the order shows in one of them.
const BALANCERS: std::ops::RangeInclusive<u8> = 1..=6;

const FIRST_CALLER: u8 = 200;

/// A fleet in which each balancer has a caller with an open flow.
struct BusyFleet {
    fleet: Fleet,
    flows: Vec<(Caller, Packet)>,
}

impl BusyFleet {
    async fn start(name: &str) -> Self {
        let mut fleet = Fleet::start(name).await;
        fleet.configure(1, entry());
        for balancer in BALANCERS {
            fleet.start_balancer(balancer);
        }
        let _target = fleet.start_agent(11).await;
        let mut flows = Vec::new();
        for balancer in BALANCERS {
            fleet.await_ready(balancer).await;
            let caller = Caller::open(fleet.ip(FIRST_CALLER + balancer), fleet.ports.packets).await;
            let address = fleet.address(balancer, fleet.ports.packets);
            let opened = caller.open_flow(address, 41_000, entry()).await.unwrap();
            flows.push((caller, opened));
        }
        Self { fleet, flows }
    }

    /// Stalls the balancers for the sum of two durations, sends a request in each flow between them,
    /// and returns how many are answered.
    async fn count_answers_after(self, [before, after]: [Duration; 2]) -> usize {
        signal_balancers(&self.fleet, Signal::STOP);
        sleep(before).await;
        let mut requests = JoinSet::new();
        for ((caller, opened), balancer) in self.flows.into_iter().zip(BALANCERS) {
            let address = self.fleet.address(balancer, self.fleet.ports.packets);
            requests.spawn(async move { caller.request(address, &opened, "meanwhile").await });
        }
        sleep(after).await;
        signal_balancers(&self.fleet, Signal::CONT);
        let answers = requests.join_all().await;
        let answered = answers.iter().filter(|answer| is_answer(answer.as_ref()));
        answered.count()
    }
}

fn signal_balancers(fleet: &Fleet, signal: Signal) {
    for process in fleet.processes.iter().take(BALANCERS.count()) {
        process.signal(signal);
    }
}

fn is_answer(packet: Option<&Packet>) -> bool {
    packet.is_some_and(|packet| !packet.is(RST) && packet.data.ends_with(b"answers meanwhile"))
}

/// Guards against balancers that take their own stall for the silence of all agents, and reset the
/// flows of living targets.
#[tokio::test]
async fn stalled_balancers_reset_no_flow_of_a_living_target() {
    let busy = BusyFleet::start("stalled").await;
    let stalls = [Duration::from_millis(2_500), Duration::from_millis(50)];
    assert_eq!(busy.count_answers_after(stalls).await, BALANCERS.count());
}

/// Guards against packets that wait in the sockets of a balancer when it ends.
#[tokio::test]
async fn stopping_balancers_forward_the_packets_that_wait_in_their_sockets() {
    let busy = BusyFleet::start("stop-balancers").await;
    signal_balancers(&busy.fleet, Signal::TERM);
    sleep(Duration::from_millis(1_500)).await;
    let stalls = [Duration::ZERO, Duration::from_millis(600)];
    assert_eq!(busy.count_answers_after(stalls).await, BALANCERS.count());
}

/// Guards against an agent that ends while its target processes a request, whose answer then
/// reaches nobody.
#[tokio::test]
async fn stopping_agent_delivers_the_answers_of_requests_at_work() {
    let mut fleet = Fleet::start("stop-agent").await;
    fleet.configure(1, entry());
    fleet.start_balancer(1);
    let (process, target) = fleet.start_agent(11).await;
    fleet.await_ready(1).await;
    let caller = Caller::open(fleet.ip(FIRST_CALLER), fleet.ports.packets).await;
    let balancer = fleet.address(1, fleet.ports.packets);
    let opened = caller.open_flow(balancer, 41_000, entry()).await.unwrap();
    target.log.answer_delay_ms.store(300, Ordering::SeqCst);
    let request = tokio::spawn(async move { caller.request(balancer, &opened, "meanwhile").await });
    sleep(Duration::from_millis(100)).await;
    fleet.processes[process].signal(Signal::TERM);
    assert!(is_answer(request.await.unwrap().as_ref()));
    while fleet.processes[process].has_ended().is_none() {
        sleep(Duration::from_millis(5)).await;
    }
}
