//! A TCP proxy on loopback that injects faults.

use std::{future::pending, net::SocketAddrV4};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    time::{Duration, sleep},
};

const BUFFER_BYTES: usize = 16 * 1_024;
const DELAY: Duration = Duration::from_millis(300);

/// How a proxy treats its connections, both open and new ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProxyMode {
    Pass,
    /// Delays each chunk of data.
    Delay,
    /// Forwards neither data nor the end of a connection.
    Stall,
    /// Forwards requests but not answers.
    StallAnswers,
    /// Closes all connections at once, including new ones.
    Reset,
}

/// A running proxy.
#[derive(Debug)]
pub struct Proxy {
    mode: watch::Sender<ProxyMode>,
    /// How often the open connections have been silenced.
    silences: watch::Sender<u64>,
}

impl Proxy {
    pub async fn spawn(from: SocketAddrV4, to: SocketAddrV4) -> Self {
        let (mode, seen) = watch::channel(ProxyMode::Pass);
        let (silences, heard) = watch::channel(0);
        let listener = TcpListener::bind(from).await.unwrap();
        tokio::spawn(async move {
            loop {
                let (client, _) = listener.accept().await.unwrap();
                tokio::spawn(relay(client, to, seen.clone(), heard.clone()));
            }
        });
        Self { mode, silences }
    }

    /// Makes all open connections silent for good, without closing them; new ones work.
    pub fn silence_open_connections(&self) {
        self.silences.send_modify(|silences| *silences += 1);
    }

    pub fn set(&self, mode: ProxyMode) {
        self.mode.send_replace(mode);
    }
}

async fn relay(
    client: TcpStream,
    to: SocketAddrV4,
    mode: watch::Receiver<ProxyMode>,
    mut silences: watch::Receiver<u64>,
) {
    if *mode.borrow() == ProxyMode::Reset {
        return;
    }
    let Ok(server) = TcpStream::connect(to).await else {
        return;
    };
    silences.mark_unchanged();
    let mut until_reset = mode.clone();
    let (client_reads, client_writes) = client.into_split();
    let (server_reads, server_writes) = server.into_split();
    let is_stalled = |mode: ProxyMode| mode == ProxyMode::Stall;
    let are_answers_stalled =
        |mode: ProxyMode| matches!(mode, ProxyMode::Stall | ProxyMode::StallAnswers);
    let requests = copy_data(client_reads, server_writes, mode.clone(), is_stalled);
    let answers = copy_data(server_reads, client_writes, mode, are_answers_stalled);
    tokio::pin!(requests, answers);
    // When one direction ends, both are closed.
    let is_silenced = tokio::select! {
        () = &mut requests => false,
        () = &mut answers => false,
        _ = until_reset.wait_for(|mode| *mode == ProxyMode::Reset) => false,
        changed = silences.changed() => changed.is_ok(),
    };
    if is_silenced {
        // Keeps both connections open.
        pending::<()>().await;
    }
}

async fn copy_data(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<ProxyMode>,
    is_stalled: impl Fn(ProxyMode) -> bool,
) {
    let mut buffer = [0; BUFFER_BYTES];
    loop {
        let Ok(bytes) = from.read(&mut buffer).await else {
            return;
        };
        if mode.wait_for(|mode| !is_stalled(*mode)).await.is_err() {
            return;
        }
        if *mode.borrow() == ProxyMode::Delay {
            sleep(DELAY).await;
        }
        if bytes == 0 || to.write_all(&buffer[..bytes]).await.is_err() {
            return;
        }
    }
}
