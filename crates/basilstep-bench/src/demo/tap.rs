//! Takes the place of an agent on its port and counts the callers' packets that still come.

use basilstep_core::{
    crypto::SipHashKey,
    wire::{CarrierHeader, decode_frame},
};
use std::{
    io,
    net::SocketAddrV4,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};
use tokio::{net::UdpSocket, task::JoinHandle};

const MAX_DATAGRAM_BYTES: usize = 65_535;

/// An open tap; closed when it is counted.
#[derive(Debug)]
pub struct Tap {
    frames: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Tap {
    /// Binds the address of an agent that has ended.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when the address cannot be bound.
    pub async fn open(address: SocketAddrV4, carrier_key: SipHashKey) -> io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        let frames = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&frames);
        let task = tokio::spawn(async move {
            let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
            while let Ok((length, _)) = socket.recv_from(&mut buffer).await {
                let frame = decode_frame::<CarrierHeader>(&carrier_key, &buffer[..length]);
                if frame.is_ok() {
                    counted.fetch_add(1, Ordering::Relaxed);
                }
            }
        });
        Ok(Self { frames, task })
    }

    /// Closes the tap and returns how many frames with a caller's packet came.
    pub async fn close(self) -> u64 {
        self.task.abort();
        drop(self.task.await);
        self.frames.load(Ordering::Relaxed)
    }
}
