//! An endpoint leaves as planned, a requester uses ports of earlier flows again, and a balancer is
//! restarted as planned.

use crate::{
    Verdict,
    endpoint::Endpoint,
    fleet::Fleet,
    record::Record,
    requester::{Outcome, Requester},
};
use std::{
    net::SocketAddrV4,
    thread,
    time::{Duration, Instant},
};

const SERVICE: &str = "huvo11a";
const ENDPOINTS: [u8; 3] = [11, 12, 13];
const LEAVING: u8 = 11;
const FLOWS: usize = 24;
const TIME_LIMIT: Duration = Duration::from_millis(2_500);

/// How long an endpoint has served before it leaves.
const SERVED: Duration = Duration::from_secs(18);

/// How long after the end of a flow the requester uses its port again: longer than the 60 s for which
/// usual systems keep a port of a connection that was closed.
const REUSED_AFTER: Duration = Duration::from_secs(62);

pub fn play(record: &Record, trouble: &str) -> Verdict {
    let (leaves, rolls) = match trouble {
        "0" => (false, false),
        "leave" => (true, false),
        "roll" => (false, true),
        _ => (true, true),
    };
    let mut fleet = Fleet::start(record);
    fleet.configure(1, "safe", SERVICE);
    fleet.start_balancer(1);
    fleet.start_balancer(2);
    for number in ENDPOINTS {
        fleet.start_agent(number, SERVICE);
    }
    let endpoints: Vec<Endpoint> = ENDPOINTS
        .iter()
        .map(|number| fleet.start_endpoint(*number, SERVICE))
        .collect();
    let routers = fleet.routers(&[1, 2]);
    if !routers.wait_for(2, Duration::from_secs(15)) {
        record.say("the balancers did not become ready");
        return Verdict::NotRun;
    }
    let began = Instant::now();
    thread::sleep(Duration::from_secs(2));
    let requester = fleet.requester(200, &routers);
    let service = fleet.route();
    // Ports whose flows go through balancer 1 while both are in rotation.
    let ports: Vec<u16> = (40_000..)
        .filter(|port| routers.node_of(requester.address(*port), service) == 0)
        .take(FLOWS)
        .collect();

    record.say("first round: a flow for each port, closed by both ends");
    let mut served_by = Vec::new();
    for port in &ports {
        let id = format!("first-{port}");
        let is_answered = requester.open(*port, service)
            && requester.request(*port, &id, TIME_LIMIT) == Outcome::Answered
            && requester.close(*port);
        let server = endpoints.iter().position(|endpoint| endpoint.has_run(&id));
        let (true, Some(server)) = (is_answered, server) else {
            record.say(format!(
                "flow of port {port} was not served in the first round"
            ));
            return Verdict::NotRun;
        };
        served_by.push(server);
    }
    let closed = Instant::now();
    thread::sleep(SERVED.saturating_sub(began.elapsed()));
    if leaves {
        record.say("endpoint 11 leaves as planned, and its machine with it");
        endpoints[0].leave(Duration::from_millis(3_500));
        if !fleet.stop(LEAVING) {
            return Verdict::NotRun;
        }
    }
    thread::sleep(REUSED_AFTER.saturating_sub(closed.elapsed()));

    record.say("second round: the requester uses the ports again; the flows stay open");
    for port in &ports {
        let id = format!("second-{port}");
        if !requester.open(*port, service)
            || requester.request(*port, &id, TIME_LIMIT) != Outcome::Answered
        {
            record.say(format!(
                "flow of port {port} was not served in the second round"
            ));
            return Verdict::NotRun;
        }
    }
    if rolls {
        record.say("balancer 1 is restarted as planned");
        fleet.signal(1, "TERM");
        if !routers.wait_for(1, Duration::from_secs(4)) {
            return Verdict::NotRun;
        }
    }
    let verdict = judge(&ports, &served_by, &requester, &endpoints, service, record);
    if rolls {
        fleet.await_end(1);
        fleet.start_balancer(1);
    }
    if let Some(port) = ports
        .iter()
        .zip(&served_by)
        .find(|(_, server)| **server == 0)
        .map(|(port, _)| port)
    {
        fleet.record_log_lines(&requester.address(*port).to_string());
    }
    if !fleet.ended().is_empty() {
        record.say("a process has ended by itself");
    }
    verdict
}

/// FLOW, (a): while the endpoint of an open flow lives, the requester gets a reset that the endpoint
/// did not send.
fn judge(
    ports: &[u16],
    served_by: &[usize],
    requester: &Requester,
    endpoints: &[Endpoint],
    service: SocketAddrV4,
    record: &Record,
) -> Verdict {
    let mut wrong = 0;
    let mut silent = 0;
    for (port, former) in ports.iter().zip(served_by) {
        let caller = requester.address(*port);
        let holder = endpoints
            .iter()
            .find(|endpoint| endpoint.opened_ms(caller, service).is_some());
        let Some(holder) = holder else {
            record.say(format!("no endpoint holds the flow of port {port}"));
            return Verdict::NotRun;
        };
        let outcome = requester.request(*port, &format!("third-{port}"), TIME_LIMIT);
        let is_own = holder
            .0
            .own_resets
            .lock()
            .unwrap()
            .contains(&(caller, service));
        let still_holds = holder.opened_ms(caller, service).is_some();
        record.line(format!(
            "flow of port {port}: open at {}, first round at {}, third request: {outcome:?}, endpoint holds it still: {still_holds}",
            holder.name(),
            endpoints[*former].name(),
        ));
        if outcome == Outcome::Reset && !is_own && still_holds {
            wrong += 1;
        }
        silent += usize::from(outcome == Outcome::Nothing);
    }
    let spoiled: u64 = endpoints.iter().map(Endpoint::spoiled).sum();
    record.line(format!(
        "packets not as written: {} at the requester, {spoiled} at endpoints; resets out of the window: {}",
        requester.spoiled(),
        requester.ignored_resets()
    ));
    record.say(format!(
        "{} open flows: {wrong} reset by the system while their endpoints hold them, {silent} without an answer",
        ports.len()
    ));
    if wrong > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
