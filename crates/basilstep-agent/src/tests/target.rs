use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
};

const MAX_HEAD_BYTES: usize = 16_384;

/// How a target ends the connection after its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// Closes it, with a reset if the request has not been read completely.
    Close,
    /// Resets it.
    Reset,
    /// Keeps it open.
    KeepOpen,
}

/// A target that answers each request with the same bytes, once it is released.
#[derive(Clone, Debug)]
pub struct ScriptedTarget {
    /// The address of the target.
    pub address: SocketAddrV4,
    requests: Arc<AtomicU32>,
    released: watch::Sender<bool>,
}

impl ScriptedTarget {
    /// Spawns a target that answers at once.
    pub async fn spawn(answer: &'static str, end: End) -> Self {
        let target = Self::spawn_held(answer, end).await;
        target.release();
        target
    }

    /// Spawns a target that answers nothing before [`ScriptedTarget::release`].
    pub async fn spawn_held(answer: &'static str, end: End) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.expect("a free port");
        let Ok(SocketAddr::V4(address)) = listener.local_addr() else {
            unreachable!("an IPv4 address was bound");
        };
        let target = Self {
            address,
            requests: Arc::default(),
            released: watch::Sender::new(false),
        };
        let accepting = target.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let target = accepting.clone();
                tokio::spawn(async move { target.answer(stream, answer, end).await });
            }
        });
        target
    }

    /// Answers all requests, also those received before.
    pub fn release(&self) {
        self.released.send_replace(true);
    }

    /// Returns the number of requests whose head was received.
    pub fn requests(&self) -> u32 {
        self.requests.load(Ordering::Relaxed)
    }

    async fn answer(&self, mut stream: TcpStream, answer: &str, end: End) {
        if !read_head(&mut stream).await {
            return;
        }
        self.requests.fetch_add(1, Ordering::Relaxed);
        let mut released = self.released.subscribe();
        if released.wait_for(|released| *released).await.is_err()
            || stream.write_all(answer.as_bytes()).await.is_err()
        {
            return;
        }
        match end {
            End::Close => {}
            End::Reset => {
                // The answer has to be read before the reset, which discards what is buffered.
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                stream.set_zero_linger().expect("the stream is open");
            }
            End::KeepOpen => std::future::pending().await,
        }
    }
}

/// Reads a request byte by byte up to the end of its head, so that the body stays unread.
async fn read_head(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) if head.len() < MAX_HEAD_BYTES => head.push(byte),
            _ => return false,
        }
    }
    true
}
