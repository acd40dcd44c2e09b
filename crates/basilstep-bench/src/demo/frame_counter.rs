//! Binds the port of a stopped agent and counts the callers' packets that still arrive there.

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

/// Counts the valid carrier frames that arrive at an agent's address.
#[derive(Debug)]
pub struct FrameCounter {
    frames: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl FrameCounter {
    /// Binds the address of an agent that has stopped and starts counting.
    ///
    /// # Errors
    ///
    /// Returns the system error if the address cannot be bound.
    pub async fn bind(address: SocketAddrV4, carrier_key: SipHashKey) -> io::Result<Self> {
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

    /// Stops counting and returns the number of frames that carried a caller's packet.
    pub async fn finish(self) -> u64 {
        self.task.abort();
        drop(self.task.await);
        self.frames.load(Ordering::Relaxed)
    }
}
