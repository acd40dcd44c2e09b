//! An endpoint is added while the store turns calls away, and both balancers and the node beside the
//! new endpoint are restarted as planned.

use crate::{Verdict, endpoint::Endpoint, fleet::Fleet, record::Record, requester::Outcome};
use std::{thread, time::Duration};

const SERVICE: &str = "huvo11a";
const NEW: u8 = 13;
const FLOWS: usize = 24;
const TIME_LIMIT: Duration = Duration::from_millis(2_500);

/// How long after the end of its process a balancer starts again.
const BALANCER_AWAY: Duration = Duration::from_millis(500);

/// How long after the end of its process the node beside the endpoint starts again.
const AGENT_AWAY: Duration = Duration::from_millis(1_000);

pub fn play(record: &Record, trouble: &str) -> Verdict {
    let (turns_away, rolls) = match trouble {
        "0" => (false, false),
        "store" => (true, false),
        "roll" => (false, true),
        _ => (true, true),
    };
    let mut fleet = Fleet::start(record);
    fleet.configure(1, "safe", SERVICE);
    for number in [1, 2] {
        fleet.start_balancer(number);
    }
    for number in [11, 12] {
        fleet.start_agent(number, SERVICE);
    }
    let mut endpoints: Vec<Endpoint> = [11, 12]
        .iter()
        .map(|number| fleet.start_endpoint(*number, SERVICE))
        .collect();
    let routers = fleet.routers(&[1, 2]);
    if !routers.wait_for(2, Duration::from_secs(15)) {
        record.say("the balancers did not become ready");
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(6));
    let requester = fleet.requester(200, &routers);
    let service = fleet.route();
    if turns_away {
        record.say("the store answers 503");
        fleet.store.set_busy(true);
    }
    record.say("endpoint 13 is added");
    fleet.start_agent(NEW, SERVICE);
    thread::sleep(Duration::from_millis(200));
    endpoints.push(fleet.start_endpoint(NEW, SERVICE));
    thread::sleep(Duration::from_millis(600));
    let ports: Vec<u16> = (42_000..).take(FLOWS).collect();
    for port in &ports {
        if !requester.open(*port, service)
            || requester.request(*port, &format!("first-{port}"), TIME_LIMIT) != Outcome::Answered
        {
            record.say(format!("flow of port {port} was not served"));
            return Verdict::NotRun;
        }
    }
    if rolls {
        record.say("both balancers and the node beside endpoint 13 are restarted as planned");
        fleet.signal(1, "TERM");
        fleet.signal(2, "TERM");
        thread::sleep(Duration::from_millis(1_700));
        fleet.signal(NEW, "TERM");
        let have_ended = [1, 2, NEW].iter().all(|number| fleet.await_end(*number));
        if !have_ended {
            return Verdict::NotRun;
        }
    } else {
        thread::sleep(Duration::from_millis(1_800));
    }
    thread::sleep(BALANCER_AWAY);
    if turns_away {
        fleet.store.set_busy(false);
        record.say("the store serves again");
    }
    if rolls {
        fleet.start_balancer(1);
        fleet.start_balancer(2);
    }
    let requests: Vec<_> = ports
        .iter()
        .map(|port| {
            let (requester, port) = (requester.clone(), *port);
            thread::spawn(move || requester.request(port, &format!("second-{port}"), TIME_LIMIT))
        })
        .collect();
    thread::sleep(AGENT_AWAY - BALANCER_AWAY);
    if rolls {
        fleet.start_agent(NEW, SERVICE);
    }
    let mut wrong = 0;
    let mut silent = 0;
    for (port, request) in ports.iter().zip(requests) {
        let outcome = request.join().unwrap_or(Outcome::Nothing);
        let caller = requester.address(*port);
        let Some(holder) = endpoints
            .iter()
            .find(|endpoint| endpoint.opened_ms(caller, service).is_some())
        else {
            record.say(format!("no endpoint holds the flow of port {port}"));
            return Verdict::NotRun;
        };
        let is_own = holder
            .0
            .own_resets
            .lock()
            .unwrap()
            .contains(&(caller, service));
        record.line(format!(
            "flow of port {port}: open at {}, second request: {outcome:?}",
            holder.name()
        ));
        wrong += usize::from(outcome == Outcome::Reset && !is_own);
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
    fleet.record_log_lines("learned the route history");
    if !fleet.ended().is_empty() {
        record.say("a process has ended by itself");
    }
    if wrong > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
