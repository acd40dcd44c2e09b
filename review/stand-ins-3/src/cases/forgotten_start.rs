//! An endpoint starts while its machine's clock is ahead, the clock goes back, all processes are
//! killed at the same moment and start again, and a flow goes on after a pause.

use crate::{Verdict, endpoint::Endpoint, fleet::Fleet, record::Record, requester::Outcome};
use std::{thread, time::Duration};

const SERVICE: &str = "huvo11a";
const NEW: u8 = 13;
const FLOWS: usize = 30;
const TIME_LIMIT: Duration = Duration::from_millis(2_500);
const CLOCK_AHEAD_MS: u64 = 2_400;

/// The pause after the restart, in which the requester sends nothing: longer than `ContactMs`.
const PAUSE: Duration = Duration::from_millis(7_500);

pub fn play(record: &Record, trouble: &str) -> Verdict {
    let (steps, kills) = match trouble {
        "0" => (false, false),
        "clock" => (true, false),
        "kill" => (false, true),
        _ => (true, true),
    };
    let mut fleet = Fleet::start(record);
    fleet.configure(1, "unsafe", SERVICE);
    for number in [1, 2] {
        fleet.start_balancer(number);
    }
    for number in [11, 12, NEW] {
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
    thread::sleep(Duration::from_secs(5));
    let requester = fleet.requester(200, &routers);
    let service = fleet.route();

    record.say("endpoint 13 is added");
    let mut config = fleet.endpoint(NEW, SERVICE);
    config.clock_ahead_ms = if steps { CLOCK_AHEAD_MS } else { 0 };
    if steps {
        record.line("the clock of machine 13 is 2,400 ms ahead; it goes back after the start of its endpoint");
    }
    endpoints.push(Endpoint::start(config, record));
    thread::sleep(Duration::from_millis(100));
    let ports: Vec<u16> = (41_000..).take(FLOWS).collect();
    let mut opened = Vec::new();
    for port in &ports {
        if requester.open(*port, service)
            && requester.request(*port, &format!("first-{port}"), TIME_LIMIT) == Outcome::Answered
        {
            opened.push(*port);
        }
    }
    if opened.len() < FLOWS {
        record.say(format!(
            "only {} of {FLOWS} flows were opened",
            opened.len()
        ));
        return Verdict::NotRun;
    }
    let all = [1, 2, 11, 12, NEW];
    thread::sleep(Duration::from_millis(300));
    if kills {
        record.say("all processes are killed at the same moment and start again");
        fleet.kill(&all);
        thread::sleep(Duration::from_millis(500));
        for number in [1, 2] {
            fleet.start_balancer(number);
        }
        for number in [11, 12, NEW] {
            fleet.start_agent(number, SERVICE);
        }
    }
    thread::sleep(PAUSE);
    if !routers.wait_for(2, Duration::from_secs(10)) {
        record.say("the balancers did not come back");
        return Verdict::NotRun;
    }
    let mut wrong = 0;
    let mut silent = 0;
    for port in &opened {
        let caller = requester.address(*port);
        let Some(holder) = endpoints
            .iter()
            .find(|endpoint| endpoint.opened_ms(caller, service).is_some())
        else {
            record.say(format!("no endpoint holds the flow of port {port}"));
            return Verdict::NotRun;
        };
        let outcome = requester.request(*port, &format!("second-{port}"), TIME_LIMIT);
        let is_own = holder
            .0
            .own_resets
            .lock()
            .unwrap()
            .contains(&(caller, service));
        let still_holds = holder.opened_ms(caller, service).is_some();
        record.line(format!(
            "flow of port {port}: open at {}, second request: {outcome:?}, endpoint holds it still: {still_holds}",
            holder.name()
        ));
        wrong += usize::from(outcome == Outcome::Reset && !is_own && still_holds);
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
        opened.len()
    ));
    fleet.record_log_lines("the target changed");
    if !fleet.ended().is_empty() {
        record.say("a process has ended by itself");
    }
    if wrong > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
