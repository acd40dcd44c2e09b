//! Agents in one process, with scripted targets and callers over QUIC on loopback.

mod answers;
mod stop;
mod target;

use crate::{
    control_port::ControlPort,
    controller,
    endpoint::server_config,
    exchange::{Dispatcher, RELAY_KEEPS_RECORD, RELAY_PATH, RELAYED_HEADER},
    flow_server::FlowServer,
    settings::AgentSettings,
    shared_state::{ActiveServiceSettings, SharedState},
};
use basilstep_bench::fakes::caller::{Flow, FlowClientSettings, FlowResponse, RequestError};
use basilstep_core::{
    address::{AgentAddress, DomainId, Incarnation, ServiceId},
    admission::AdmissionSettings,
    crypto::{ClusterKey, SipHashKey},
    membership::{AgentPhase, AgentRecord},
    requests::RequestSettings,
    settings::{DomainSet, SettingsState},
    token::{FlowKey, FlowKeys},
};
use basilstep_node::{
    clock::{Clock, unix_time_s},
    control::{AUTH_HEADER, ControlServer, Credential},
    flags::CommonSettings,
};
use bytes::Bytes;
use http::Request;
use quinn::Endpoint;
use rcgen::{CertifiedKey, generate_simple_self_signed};
use rustls::pki_types::CertificateDer;
use std::{
    io::Write,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream},
    sync::Arc,
    time::Duration,
};
use target::ScriptedTarget;
use tokio::{
    net::UdpSocket,
    time::{sleep, timeout},
};

const SERVER_NAME: &str = "basilstep.test";
/// Ends a test that would hang; longer than any wait of the agent.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A running agent with a QUIC endpoint of its own instead of the carrier.
struct TestAgent {
    shared: Arc<SharedState>,
    dispatcher: Arc<Dispatcher>,
    controller: xtra::Address<controller::Controller>,
    endpoint: Endpoint,
    root: CertificateDer<'static>,
    _control: ControlServer,
}

impl TestAgent {
    /// Spawns an agent in front of `target` that admits one request at a time.
    async fn spawn(target: SocketAddrV4) -> Self {
        Self::spawn_with_stop_wait(target, 10_000).await
    }

    async fn spawn_with_stop_wait(target: SocketAddrV4, stop_wait_ms: u64) -> Self {
        let cluster_key = ClusterKey::from_hex(&"ab".repeat(32)).expect("a key");
        let settings = agent_settings(cluster_key.clone(), target, stop_wait_ms);
        let clock = Clock::start();
        let shared = Arc::new(SharedState::new(settings, clock, service_settings(), 1));
        shared.set_target_up(true);
        let dispatcher = Dispatcher::new(Arc::clone(&shared));
        dispatcher.spawn_background_tasks();
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let controller = controller::spawn(
            Arc::clone(&shared),
            Arc::new(socket.expect("a free port")),
            SettingsState::new(cluster_key),
            &[],
        );
        let port = Arc::new(ControlPort {
            shared: Arc::clone(&shared),
            controller: controller.clone(),
            dispatcher: Arc::clone(&dispatcher),
        });
        let counters = Arc::clone(&shared.counters);
        let address = shared.settings.common.address;
        let control = ControlServer::spawn(address, shared.keys.control, counters, port).await;
        let (endpoint, root) = open_endpoint();
        let server = FlowServer {
            shared: Arc::clone(&shared),
            dispatcher: Arc::clone(&dispatcher),
        };
        tokio::spawn(server.accept(endpoint.clone()));
        Self {
            shared,
            dispatcher,
            controller,
            endpoint,
            root,
            _control: control.expect("a free port"),
        }
    }

    /// Spawns an agent that relays all new requests to `peer`, because it drains.
    async fn spawn_relaying_to(peer: &Self) -> Self {
        let agent = Self::spawn(peer.shared.settings.target).await;
        agent.set_peer(peer.shared.settings.common.address);
        agent
    }

    fn set_peer(&self, address: SocketAddrV4) {
        self.shared.set_peers(&[AgentRecord {
            address: AgentAddress(address),
            service: ServiceId(1),
            domain: DomainId(1),
            incarnation: Incarnation(1),
            revision: 1,
            weight: 16,
            phase: AgentPhase::Serving,
        }]);
    }

    /// Sends a relayed request to the agent without letting its tasks run.
    fn relay_request(&self) -> TcpStream {
        let path = format!("{RELAY_PATH}/a");
        let (key, now_s) = (&self.shared.keys.control, unix_time_s());
        let credential = Credential::sign(key, "GET", &path, now_s, rand::random()).to_header();
        let head = format!(
            "GET {path} HTTP/1.1\r\nhost: a\r\n{AUTH_HEADER}: {credential}\r\n\
             {RELAYED_HEADER}: {RELAY_KEEPS_RECORD}\r\n\r\n"
        );
        let address = self.shared.settings.common.address;
        let mut stream = TcpStream::connect(address).expect("the agent listens");
        stream.write_all(head.as_bytes()).expect("it is buffered");
        stream
    }

    /// Opens a flow, and then lets the agent drain, so that it relays.
    async fn open_flow_before_drain(&self) -> Flow {
        let flow = self.open_flow().await;
        self.shared.set_draining(true);
        flow
    }

    async fn open_flow(&self) -> Flow {
        let settings = FlowClientSettings {
            address: self.endpoint.local_addr().expect("an address"),
            local_ip: Ipv4Addr::LOCALHOST,
            root: self.root.clone(),
        };
        Flow::open(&settings).await.expect("the agent accepts it")
    }
}

/// Opens a flow to `target`, directly or through another agent that relays to the one returned.
async fn open_flow(target: &ScriptedTarget, is_relayed: bool) -> (TestAgent, Flow) {
    let serving = TestAgent::spawn(target.address).await;
    if !is_relayed {
        let flow = serving.open_flow().await;
        return (serving, flow);
    }
    let relaying = TestAgent::spawn_relaying_to(&serving).await;
    let flow = relaying.open_flow_before_drain().await;
    (serving, flow)
}

/// Sends one request and waits for its complete response.
async fn send(
    flow: &Flow,
    method: &str,
    headers: &[(&str, &str)],
    body: Bytes,
) -> Result<FlowResponse, RequestError> {
    let request = request(method, headers);
    timeout(TEST_TIMEOUT, flow.request(request, body))
        .await
        .expect("the agent answers in time")
}

fn request(method: &str, headers: &[(&str, &str)]) -> Request<()> {
    let uri = format!("https://{SERVER_NAME}/a");
    let request = Request::builder().method(method).uri(uri);
    let request = headers.iter().fold(request, |request, (name, value)| {
        request.header(*name, *value)
    });
    request.body(()).expect("a valid request")
}

async fn get(flow: &Flow) -> Result<FlowResponse, RequestError> {
    send(flow, "GET", &[], Bytes::new()).await
}

fn agent_settings(
    cluster_key: ClusterKey,
    target: SocketAddrV4,
    stop_wait_ms: u64,
) -> AgentSettings {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let SocketAddr::V4(address) = listener.local_addr().expect("an address") else {
        unreachable!("an IPv4 address was bound");
    };
    AgentSettings {
        common: CommonSettings {
            address,
            domain: "d1".to_owned(),
            store: String::new(),
            store_token: None,
            cluster_key,
            seeds: Vec::new(),
            metrics_address: None,
            log_level: log::LevelFilter::Off,
        },
        service: "teams/a/services/b".to_owned(),
        target,
        target_weight: 16,
        health_path: "/health".to_owned(),
        stop_wait_ms,
    }
}

fn service_settings() -> ActiveServiceSettings {
    let current = FlowKey {
        id: 1,
        secret: SipHashKey([1; 16]),
    };
    ActiveServiceSettings {
        id: ServiceId(1),
        domain: DomainId(1),
        domains_out: DomainSet::default(),
        flow_keys: FlowKeys {
            current,
            previous: None,
        },
        admission: AdmissionSettings {
            request_limit: 1,
            queue_wait_ms: 10_000,
            latency_limit_ms: 10_000,
            ..AdmissionSettings::default()
        },
        requests: RequestSettings {
            require_ticket: false,
            ..RequestSettings::default()
        },
    }
}

fn open_endpoint() -> (Endpoint, CertificateDer<'static>) {
    let names = vec![SERVER_NAME.to_owned()];
    let CertifiedKey { cert, signing_key } =
        generate_simple_self_signed(names).expect("a certificate");
    let key_pem = signing_key.serialize_pem();
    let config = server_config(&cert.pem(), key_pem.as_bytes()).expect("a valid certificate");
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let endpoint = Endpoint::server(config, address).expect("a free port");
    (endpoint, cert.der().clone())
}

/// Waits until a condition holds, and fails if that takes longer than [`TEST_TIMEOUT`].
async fn until<F: Future<Output = bool>>(condition: impl Fn() -> F) {
    let waiting = async {
        while !condition().await {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TEST_TIMEOUT, waiting)
        .await
        .expect("it holds in time");
}
