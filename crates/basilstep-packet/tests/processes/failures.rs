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
        let (_, target) = fleet.start_agent(11).await;
        // The target runs until the test ends.
        std::mem::forget(target);
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

    fn signal_balancers(&self, signal: Signal) {
        for process in self.fleet.processes.iter().take(self.flows.len()) {
            process.signal(signal);
        }
    }

    /// Starts a request in each flow, through the balancer that opened it.
    fn start_requests(&mut self) -> JoinSet<Option<Packet>> {
        let mut requests = JoinSet::new();
        for ((caller, opened), balancer) in
            std::mem::take(&mut self.flows).into_iter().zip(BALANCERS)
        {
            let address = self.fleet.address(balancer, self.fleet.ports.packets);
            requests.spawn(async move { caller.request(address, &opened, "meanwhile").await });
        }
        requests
    }
}

fn is_answer(packet: Option<&Packet>) -> bool {
    packet.is_some_and(|packet| !packet.is(RST) && packet.data.ends_with(b"answers meanwhile"))
}

/// Guards against balancers that take their own stall for the silence of all agents, and reset the
/// flows of living targets.
#[tokio::test]
async fn stalled_balancers_reset_no_flow_of_a_living_target() {
    let mut busy = BusyFleet::start("stalled").await;
    busy.signal_balancers(Signal::STOP);
    sleep(Duration::from_millis(2_500)).await;
    let processes = std::mem::take(&mut busy.fleet.processes);
    let requests = busy.start_requests();
    sleep(Duration::from_millis(50)).await;
    for process in processes.iter().take(BALANCERS.count()) {
        process.signal(Signal::CONT);
    }
    let answers = requests.join_all().await;
    let answered = answers.iter().filter(|answer| is_answer(answer.as_ref()));
    assert_eq!(answered.count(), BALANCERS.count());
}

/// Guards against packets that wait in the sockets of a balancer when it ends.
#[tokio::test]
async fn stopping_balancers_forward_the_packets_that_wait_in_their_sockets() {
    let mut busy = BusyFleet::start("stop-balancers").await;
    busy.signal_balancers(Signal::TERM);
    sleep(Duration::from_millis(1_500)).await;
    busy.signal_balancers(Signal::STOP);
    let processes = std::mem::take(&mut busy.fleet.processes);
    let requests = busy.start_requests();
    sleep(Duration::from_millis(600)).await;
    for process in processes.iter().take(BALANCERS.count()) {
        process.signal(Signal::CONT);
    }
    let answers = requests.join_all().await;
    let answered = answers.iter().filter(|answer| is_answer(answer.as_ref()));
    assert_eq!(answered.count(), BALANCERS.count());
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
