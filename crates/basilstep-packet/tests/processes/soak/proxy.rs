//! A TCP proxy on loopback that misbehaves on request.

use std::net::SocketAddrV4;
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

/// What happens to the connections of a proxy, open ones and new ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Manner {
    Pass,
    /// Each piece of data comes late.
    Delay,
    /// No data passes, and no end of a connection.
    Silent,
    /// Requests pass, answers don't.
    NoAnswers,
    /// All connections end at once, and new ones too.
    Reset,
}

/// A running proxy.
#[derive(Debug)]
pub struct Proxy {
    manner: watch::Sender<Manner>,
}

impl Proxy {
    pub async fn spawn(from: SocketAddrV4, to: SocketAddrV4) -> Self {
        let (manner, seen) = watch::channel(Manner::Pass);
        let listener = TcpListener::bind(from).await.unwrap();
        tokio::spawn(async move {
            loop {
                let (client, _) = listener.accept().await.unwrap();
                tokio::spawn(carry(client, to, seen.clone()));
            }
        });
        Self { manner }
    }

    pub fn set(&self, manner: Manner) {
        self.manner.send_replace(manner);
    }
}

async fn carry(client: TcpStream, to: SocketAddrV4, manner: watch::Receiver<Manner>) {
    if *manner.borrow() == Manner::Reset {
        return;
    }
    let Ok(server) = TcpStream::connect(to).await else {
        return;
    };
    let mut until_reset = manner.clone();
    let (client_reads, client_writes) = client.into_split();
    let (server_reads, server_writes) = server.into_split();
    let is_held = |manner: Manner| manner == Manner::Silent;
    let are_answers_held = |manner: Manner| matches!(manner, Manner::Silent | Manner::NoAnswers);
    // Whichever ends first, both directions end with it.
    tokio::select! {
        () = pump(client_reads, server_writes, manner.clone(), is_held) => {}
        () = pump(server_reads, client_writes, manner, are_answers_held) => {}
        _ = until_reset.wait_for(|manner| *manner == Manner::Reset) => {}
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut manner: watch::Receiver<Manner>,
    is_held: impl Fn(Manner) -> bool,
) {
    let mut buffer = [0; BUFFER_BYTES];
    loop {
        let Ok(bytes) = from.read(&mut buffer).await else {
            return;
        };
        if manner.wait_for(|manner| !is_held(*manner)).await.is_err() {
            return;
        }
        if *manner.borrow() == Manner::Delay {
            sleep(DELAY).await;
        }
        if bytes == 0 || to.write_all(&buffer[..bytes]).await.is_err() {
            return;
        }
    }
}
