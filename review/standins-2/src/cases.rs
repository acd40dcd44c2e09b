//! The cases.

use crate::{
    endpoint::Endpoint,
    fleet::{Fleet, ZONES},
    record::Record,
    requester::{Outcome, Requester},
    router::Router,
};
use std::{
    net::SocketAddrV4,
    path::Path,
    sync::Arc,
    time::{Duration, Instant},
};

pub enum Verdict {
    Held,
    Broken(String),
}

type Played = Result<Verdict, String>;

const SERVICE: &str = "quote-desk";
const FRONTS: [u8; 2] = [1, 2];
const SIDES: [u8; 3] = [11, 12, 13];
const REQUESTER: u8 = 200;
const ROUTE_IP: u8 = 240;
const ROUTE_PORT: u16 = 8_443;

pub fn play(case: &str, root: &Path, record: &Arc<Record>, has_trouble: bool) -> Played {
    match case {
        "large-flow" => large_flow(root, record, has_trouble),
        "clock-step" => clock_step(root, record, has_trouble),
        "late-ping" => late_ping(root, record, has_trouble),
        "late-leave" => late_leave(root, record, has_trouble),
        _ => Err(format!("no case is called {case}")),
    }
}

/// Two fronts, three endpoints with their agents, and one requester.
struct Deployment {
    fleet: Fleet,
    endpoints: Vec<Endpoint>,
    requester: Requester,
    route: SocketAddrV4,
}

impl Deployment {
    fn start(root: &Path, record: &Arc<Record>, kind: &str, clock_ms: i64) -> Result<Self, String> {
        let text = |error: std::io::Error| error.to_string();
        let fleet = Fleet::start(root, record, &FRONTS).map_err(text)?;
        let route = fleet.at(ROUTE_IP, ROUTE_PORT);
        fleet.store.put("op/config", &config(7, route, kind));
        for (index, front) in FRONTS.iter().enumerate() {
            fleet.start_front(*front, ZONES[index % 2]).map_err(text)?;
        }
        for (index, side) in SIDES.iter().enumerate() {
            fleet
                .start_side(*side, ZONES[index % 2], SERVICE)
                .map_err(text)?;
        }
        let router = Router::start(
            FRONTS.iter().map(|front| fleet.front(*front)).collect(),
            record,
        );
        let requester = Requester::bind(
            fleet.at(REQUESTER, fleet.ports.datagrams),
            router.clone(),
            record,
        )
        .map_err(text)?;
        let mut endpoints = Vec::new();
        for (index, side) in SIDES.iter().enumerate() {
            let mut config = fleet.endpoint_config(*side, ZONES[index % 2], SERVICE);
            config.clock_ms = clock_ms;
            endpoints.push(fleet.start_endpoint(config).map_err(text)?);
        }
        let began = Instant::now();
        let mut deployment = Self {
            fleet,
            endpoints,
            requester,
            route,
        };
        while router.in_rotation() < FRONTS.len()
            || deployment
                .endpoints
                .iter()
                .any(|endpoint| endpoint.state.lock().unwrap().acknowledged.is_none())
        {
            if began.elapsed() > Duration::from_secs(15) {
                return Err("the fleet did not become ready".to_owned());
            }
            deployment.requester.idle(Duration::from_millis(20));
        }
        Ok(deployment)
    }

    /// Returns whether the endpoint with this stamp holds the flow of a port.
    fn is_held(&self, port: u16) -> Option<&Endpoint> {
        self.endpoints.iter().find(|endpoint| {
            let state = endpoint.state.lock().unwrap();
            state.open.iter().any(|(caller, _)| caller.port() == port)
        })
    }

    /// Judges FLOW (a) for a port: a reset that the flow's endpoint, which lives, didn't send.
    fn judge_reset(&self, port: u16) -> Option<String> {
        let reset = self.requester.resets.iter().find(|reset| {
            reset.port == port && reset.was_open && reset.is_within_span && reset.by_system
        })?;
        let holder = self.is_held(port)?;
        let state = holder.state.lock().unwrap();
        let (opened, _) = state
            .opened
            .iter()
            .rev()
            .find(|(_, (caller, _))| caller.port() == port)?;
        let age = reset.at.duration_since(*opened).as_secs_f64();
        Some(format!(
            "the open flow of port {port} was reset by the system {age:.1} s after it had opened, while its endpoint {} lives and holds it",
            holder.config.name
        ))
    }
}

fn config(version: u64, route: SocketAddrV4, kind: &str) -> String {
    format!(
        r#"{{"Version":{version},"Routes":[{{"Name":"r-1","Hostname":"{}","Prefix":"/{}/","Type":"{kind}","TimeoutMs":5000,"TargetLatencyMs":500,"Priority":2,"Service":"{SERVICE}","MaxAttempts":2}}],"Services":[{{"Name":"{SERVICE}","HealthPath":"/health","MaxConnections":2000,"Protocol":"h1","Tls":false,"WarmupS":2.0,"WarmupPerS":0.0}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#,
        route.ip(),
        route.port()
    )
}

/// A requester keeps one flow open for many downloads of 80,000 bytes, at ten a second.
fn large_flow(root: &Path, record: &Arc<Record>, has_trouble: bool) -> Played {
    const REQUESTS: usize = 230;
    const ANSWER_BYTES: usize = 80_000;
    let mut deployment = Deployment::start(root, record, "download", 0)?;
    let route = deployment.route;
    deployment.requester.idle(Duration::from_secs(1));
    let began = Instant::now();
    let open =
        |deployment: &mut Deployment| deployment.requester.open(route).ok_or("no flow opened");
    let mut port = open(&mut deployment)?;
    let mut opened = Instant::now();
    let mut bytes = 0;
    for number in 0..REQUESTS {
        if !has_trouble && number == REQUESTS / 2 {
            deployment.requester.close(port);
            port = open(&mut deployment)?;
            opened = Instant::now();
            bytes = 0;
        }
        let id = deployment.requester.send(port, "GET", 0, ANSWER_BYTES, 5);
        let outcome = deployment
            .requester
            .answer(port, &id, Duration::from_secs(5));
        match outcome {
            Outcome::Answered { .. } => bytes += ANSWER_BYTES,
            Outcome::Reset { .. } => {
                let age = opened.elapsed().as_secs_f64();
                record.line(&format!(
                    "the flow is {age:.1} s old, {number} requests were answered, {bytes} bytes"
                ));
                deployment
                    .fleet
                    .record_logs(&["\"reset", "FlowLost", "FlowNotHeld", "FLOW"]);
                return match deployment.judge_reset(port) {
                    Some(why) => Ok(Verdict::Broken(format!("FLOW (a): {why}"))),
                    None => Err("a reset came, but no endpoint holds the flow".to_owned()),
                };
            }
            other => return Err(format!("{id}: {other:?}")),
        }
        let next = Duration::from_millis(100 * (number as u64 + 1));
        let pause = next.saturating_sub(began.elapsed());
        deployment.requester.idle(pause);
    }
    Ok(Verdict::Held)
}

/// The machine on which a further endpoint starts.
const ADDED: u8 = 14;

impl Deployment {
    /// Adds a machine with an endpoint, as in a release or when the service grows.
    fn add_endpoint(&mut self, clock_ms: i64) -> Result<(), String> {
        let text = |error: std::io::Error| error.to_string();
        self.fleet
            .start_side(ADDED, ZONES[0], SERVICE)
            .map_err(text)?;
        let mut config = self.fleet.endpoint_config(ADDED, ZONES[0], SERVICE);
        config.clock_ms = clock_ms;
        let endpoint = self.fleet.start_endpoint(config).map_err(text)?;
        self.endpoints.push(endpoint);
        Ok(())
    }

    /// Opens flows until one is at the endpoint called `name`; the others are closed.
    fn open_at(&mut self, name: &str, limit: Duration) -> Result<u16, String> {
        let began = Instant::now();
        let mut others = Vec::new();
        let mut found = None;
        while found.is_none() && began.elapsed() < limit {
            let Some(port) = self.requester.open(self.route) else {
                continue;
            };
            let id = self.requester.send(port, "GET", 0, 100, 1);
            match self.requester.answer(port, &id, Duration::from_secs(2)) {
                Outcome::Answered { stamp } if stamp == name => found = Some(port),
                Outcome::Answered { .. } => others.push(port),
                other => return Err(format!("{id}: {other:?}")),
            }
        }
        for port in others {
            self.requester.close(port);
        }
        found.ok_or_else(|| format!("no flow was opened at {name}"))
    }

    /// Sends a signal that ends the agent of a machine, waits for its end, and starts it again.
    fn restart_agent(&self, number: u8, signal: &str, pause: Duration) -> Result<(), String> {
        let name = format!("side-{number}");
        self.fleet.signal(&name, signal);
        if !self.fleet.await_end(&name, Duration::from_secs(6)) {
            return Err(format!("{name} did not end within GraceS"));
        }
        std::thread::sleep(pause);
        self.fleet
            .start_side(number, ZONES[0], SERVICE)
            .map_err(|error| error.to_string())
    }

    /// Sends one more request on a flow that has been idle and judges FLOW (a).
    fn request_and_judge(&mut self, port: u16) -> Played {
        let id = self.requester.send(port, "GET", 0, 4_000, 55);
        let outcome = self.requester.answer(port, &id, Duration::from_secs(5));
        self.fleet.record_logs(&[
            "FlowLost",
            "FlowNotHeld",
            "the target changed",
            "agent state changed",
            "has left",
        ]);
        match outcome {
            Outcome::Answered { .. } => Ok(Verdict::Held),
            Outcome::Reset { by_system: true } => match self.judge_reset(port) {
                Some(why) => Ok(Verdict::Broken(format!("FLOW (a): {why}"))),
                None => Err("a reset came, but no endpoint holds the flow".to_owned()),
            },
            other => Err(format!("{id}: {other:?}")),
        }
    }
}

/// An endpoint is added while its machine's clock is 2.4 s ahead; the clock jumps back; the agent beside
/// it is rolled.
fn clock_step(root: &Path, record: &Arc<Record>, has_trouble: bool) -> Played {
    const STEP_MS: i64 = 2_400;
    let mut deployment = Deployment::start(root, record, "safe", 0)?;
    deployment.requester.idle(Duration::from_secs(2));
    deployment.add_endpoint(if has_trouble { STEP_MS } else { 0 })?;
    let added = Instant::now();
    let port = deployment.open_at(&format!("server-{ADDED}"), Duration::from_millis(1_500))?;
    record.line("the clock of the added machine jumps back to true time, if it was ahead");
    let age = added.elapsed().as_secs_f64();
    record.line(&format!(
        "the agent is rolled {age:.1} s after its endpoint has started"
    ));
    deployment.restart_agent(ADDED, "TERM", Duration::from_millis(300))?;
    // The flow is idle for less than IdleTimeoutMs, and for longer than ContactMs after the jump.
    deployment.requester.idle(Duration::from_secs(6));
    deployment.request_and_judge(port)
}

/// An endpoint crashes and starts again; a ping of its former lifetime that was delayed arrives after
/// the agent beside it was killed and has started again.
fn late_ping(root: &Path, record: &Arc<Record>, has_trouble: bool) -> Played {
    let text = |error: std::io::Error| error.to_string();
    let mut deployment = Deployment::start(root, record, "safe", 0)?;
    deployment.requester.idle(Duration::from_secs(2));
    deployment.add_endpoint(0)?;
    deployment.requester.idle(Duration::from_secs(2));
    let mut former = deployment.endpoints.pop().unwrap();
    let former_born_ms = crate::endpoint::unix_ms() - 2_000;
    record.line("the added endpoint crashes");
    former.end();
    deployment.requester.idle(Duration::from_millis(500));
    let mut config = deployment.fleet.endpoint_config(ADDED, ZONES[0], SERVICE);
    config.id = "i-0099".to_owned();
    let endpoint = deployment.fleet.start_endpoint(config).map_err(text)?;
    deployment.endpoints.push(endpoint);
    deployment.requester.idle(Duration::from_millis(500));
    let port = deployment.open_at(&format!("server-{ADDED}"), Duration::from_secs(5))?;
    deployment.requester.idle(Duration::from_secs(4));
    deployment.restart_agent(ADDED, "KILL", Duration::from_millis(1_500))?;
    if has_trouble {
        let body = crate::endpoint::ping_body(&former.config, "ready", 3, former_born_ms);
        let path = format!("/instances/{}", former.config.id);
        loop {
            let limit = Duration::from_secs(1);
            let reply = crate::http::call(former.config.control, "PUT", &path, &body, limit);
            if reply.is_ok() {
                record.line("a delayed ping of the former lifetime has arrived");
                break;
            }
        }
    }
    deployment.requester.idle(Duration::from_secs(5));
    deployment.request_and_judge(port)
}

/// An endpoint leaves and starts again under its id; its DELETE arrives late.
fn late_leave(root: &Path, record: &Arc<Record>, has_trouble: bool) -> Played {
    let text = |error: std::io::Error| error.to_string();
    let mut deployment = Deployment::start(root, record, "safe", 0)?;
    deployment.requester.idle(Duration::from_secs(2));
    deployment.add_endpoint(0)?;
    deployment.requester.idle(Duration::from_secs(2));
    let mut former = deployment.endpoints.pop().unwrap();
    former.state.lock().unwrap().is_draining = true;
    deployment.requester.idle(Duration::from_secs(4));
    former.end();
    record.line("the added endpoint has ended; it starts again under its id");
    let config = deployment.fleet.endpoint_config(ADDED, ZONES[0], SERVICE);
    let endpoint = deployment.fleet.start_endpoint(config).map_err(text)?;
    deployment.endpoints.push(endpoint);
    deployment.requester.idle(Duration::from_millis(500));
    let port = deployment.open_at(&format!("server-{ADDED}"), Duration::from_secs(5))?;
    if has_trouble {
        let path = format!("/instances/{}", former.config.id);
        let limit = Duration::from_secs(1);
        let reply = crate::http::call(former.config.control, "DELETE", &path, "", limit);
        record.line(&format!(
            "the delayed DELETE of the former lifetime has arrived: {:?}",
            reply.map(|reply| reply.status)
        ));
    }
    deployment.requester.idle(Duration::from_secs(5));
    deployment.request_and_judge(port)
}
