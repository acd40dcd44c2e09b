//! The `flows` experiment: what open flows and requests cost an agent and a balancer.
//!
//! Each figure is a slope: the difference between two loads, divided by the difference in flows
//! or requests, so that the fixed cost of a process does not count.

use super::{LoadArgs, Report, processes::Processes};
use basilstep_bench::fakes::caller::{Flow, FlowClientSettings};
use bytes::Bytes;
use futures::future::join_all;
use http::Request;
use serde_json::{Value, json};
use std::{error::Error, net::SocketAddr, time::Duration};
use tokio::{runtime::Runtime, time::sleep};

const STAGES: [usize; 4] = [100, 300, 500, 700];
const OPENED_AT_ONCE: usize = 10;
const SETTLE: Duration = Duration::from_secs(2);
const IDLE: Duration = Duration::from_secs(10);
const REQUESTS: usize = 6_000;
const REQUESTS_AT_ONCE: usize = 6;
const OPEN_TRIES: usize = 50;
const RETRY: Duration = Duration::from_millis(200);

/// Runs the experiment.
pub fn run(args: &LoadArgs) -> Report {
    let measured = Runtime::new()
        .map_err(Box::<dyn Error>::from)
        .and_then(|runtime| runtime.block_on(measure(args)));
    let figures =
        measured.unwrap_or_else(|error| json!({"experiment": "flows", "error": error.to_string()}));
    Report {
        figures,
        plot: None,
    }
}

async fn measure(args: &LoadArgs) -> Result<Value, Box<dyn Error>> {
    let processes = Processes::start("flows", None, 1).await?;
    let agent = processes.plan.targets[0].agent.clone();
    let balancer = processes.plan.balancers[0].name.clone();
    let settings = FlowClientSettings {
        address: SocketAddr::V4(processes.service_at_balancer()),
        local_ip: processes.plan.caller_ip(),
        root: processes.root.clone(),
    };
    let mut flows = vec![open(&settings).await?];
    let mut stages = Vec::new();
    for stage in STAGES {
        while flows.len() < stage {
            let missing = OPENED_AT_ONCE.min(stage - flows.len());
            let opened = join_all((0..missing).map(|_| open(&settings))).await;
            for flow in opened {
                flows.push(flow?);
            }
        }
        sleep(SETTLE).await;
        stages.push(Stage {
            flows: stage,
            agent: processes.usage(&agent),
            balancer: processes.usage(&balancer),
        });
    }
    let before_idle = processes.usage(&agent);
    sleep(IDLE).await;
    let after_idle = processes.usage(&agent);
    let requests = measure_requests(&processes, &flows, &agent, &balancer).await?;
    let (first, last) = (&stages[0], &stages[stages.len() - 1]);
    let opened = (last.flows - first.flows) as f64;
    let kb = |from: u64, to: u64| (to as f64 - from as f64) * 1_024.0 / opened;
    let ms = |from: u64, to: u64| (to as f64 - from as f64) / opened;
    Ok(json!({
        "experiment": "flows",
        "seed": args.seed,
        "seeds": args.seeds,
        "flows": STAGES,
        "agent_resident_kb": stages.iter().map(|s| s.agent.resident_kb).collect::<Vec<_>>(),
        "balancer_resident_kb": stages.iter().map(|s| s.balancer.resident_kb).collect::<Vec<_>>(),
        "agent_bytes_per_flow": kb(first.agent.resident_kb, last.agent.resident_kb).round(),
        "balancer_bytes_per_flow": kb(first.balancer.resident_kb, last.balancer.resident_kb).round(),
        "agent_processor_ms_per_opened_flow":
            ms(first.agent.processor_ms, last.agent.processor_ms),
        "balancer_processor_ms_per_opened_flow":
            ms(first.balancer.processor_ms, last.balancer.processor_ms),
        "agent_idle_processor_share_per_1000_flows":
            (after_idle.processor_ms - before_idle.processor_ms) as f64
                / IDLE.as_millis() as f64 / last.flows as f64 * 1_000.0,
        "requests": requests,
    }))
}

struct Stage {
    flows: usize,
    agent: super::processes::Usage,
    balancer: super::processes::Usage,
}

/// Opens a flow; at the start of the fleet the agent may not be known yet.
async fn open(settings: &FlowClientSettings) -> Result<Flow, Box<dyn Error>> {
    let mut last = String::new();
    for _ in 0..OPEN_TRIES {
        match Flow::open(settings).await {
            Ok(flow) => return Ok(flow),
            Err(error) => last = error.to_string(),
        }
        sleep(RETRY).await;
    }
    Err(format!("no flow opens: {last}").into())
}

async fn measure_requests(
    processes: &Processes,
    flows: &[Flow],
    agent: &str,
    balancer: &str,
) -> Result<Value, Box<dyn Error>> {
    let agent_before = processes.usage(agent);
    let balancer_before = processes.usage(balancer);
    let mut whole = 0;
    for round in 0..REQUESTS / REQUESTS_AT_ONCE {
        let requests = (0..REQUESTS_AT_ONCE).map(|number| {
            let flow = &flows[(round * REQUESTS_AT_ONCE + number) % flows.len()];
            quote(flow)
        });
        whole += join_all(requests)
            .await
            .into_iter()
            .filter(|ok| *ok)
            .count();
    }
    let agent_after = processes.usage(agent);
    let balancer_after = processes.usage(balancer);
    let each = |from: u64, to: u64| (to - from) as f64 / REQUESTS as f64;
    Ok(json!({
        "sent": REQUESTS,
        "answered_with_200": whole,
        "agent_processor_ms_each": each(agent_before.processor_ms, agent_after.processor_ms),
        "balancer_processor_ms_each":
            each(balancer_before.processor_ms, balancer_after.processor_ms),
    }))
}

async fn quote(flow: &Flow) -> bool {
    let request = Request::get("https://basilstep.test/quotes/1").body(());
    let Ok(request) = request else {
        return false;
    };
    let answer = flow.request(request, Bytes::new()).await;
    answer.is_ok_and(|answer| answer.status == 200)
}
