//! Checks the health of the target and derives the agent's phase from it.

use crate::{
    controller::{Controller, PhaseChanged},
    exchange::Dispatcher,
    shared_state::SharedState,
};
use basilstep_core::{admission::AdmissionEvent, membership::AgentPhase};
use bytes::Bytes;
use http::{Request, header};
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::{sync::Arc, time::Duration};
use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};
use xtra::Address;

const CHECK_INTERVAL_MS: u64 = 500;
const CHECK_TIMEOUT_MS: u64 = 1_000;
const FAILURES_UNTIL_DOWN: u32 = 2;

/// Checks the target periodically and sends the resulting phase to the controller, until the
/// controller stops.
///
/// Any HTTP response counts as healthy, whatever its status: the status that a target reports lags
/// or is misleading.
pub async fn monitor_target(
    shared: Arc<SharedState>,
    dispatcher: Arc<Dispatcher>,
    controller: Address<Controller>,
) {
    let mut failures = 0;
    loop {
        let check = timeout(
            Duration::from_millis(CHECK_TIMEOUT_MS),
            target_responds(&shared),
        );
        failures = if matches!(check.await, Ok(true)) {
            0
        } else {
            failures + 1
        };
        let was_up = shared.is_target_up();
        let is_up = failures == 0 || (was_up && failures < FAILURES_UNTIL_DOWN);
        shared.set_target_up(is_up);
        if is_up != was_up {
            dispatcher.handle_admission_event(AdmissionEvent::HealthHint { up: is_up });
        }
        let phase = current_phase(&shared);
        if controller.send(PhaseChanged(phase)).await.is_err() {
            return;
        }
        sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
    }
}

fn current_phase(shared: &SharedState) -> AgentPhase {
    if shared.is_target_up() && !shared.is_draining() {
        AgentPhase::Serving
    } else {
        AgentPhase::Draining
    }
}

async fn target_responds(shared: &SharedState) -> bool {
    let Ok(stream) = TcpStream::connect(shared.settings.target).await else {
        return false;
    };
    let Ok((mut sender, connection)) = http1::handshake(TokioIo::new(stream)).await else {
        return false;
    };
    tokio::spawn(connection);
    let request = Request::get(&shared.settings.health_path)
        .header(header::HOST, shared.settings.target.to_string())
        .header(header::CONNECTION, "close")
        .body(Empty::<Bytes>::new());
    let Ok(request) = request else {
        return false;
    };
    sender.send_request(request).await.is_ok()
}
