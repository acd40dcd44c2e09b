//! Metrics over statsd, off unless an address is set.

use crate::counters::CodeCounters;
use basilstep_core::codes::ResultCode;
use cadence::{Counted, Gauged, NopMetricSink, StatsdClient, UdpMetricSink};
use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, UdpSocket},
};

/// A statsd client that sends nothing when no address is set.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
    sent: BTreeMap<ResultCode, u64>,
}

impl Metrics {
    /// Creates the client.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket that sends to `address`.
    pub fn open(prefix: &str, address: Option<SocketAddr>) -> io::Result<Self> {
        let client = match address {
            None => StatsdClient::from_sink(prefix, NopMetricSink),
            Some(address) => StatsdClient::from_sink(prefix, udp_sink(address)?),
        };
        Ok(Self {
            client,
            sent: BTreeMap::new(),
        })
    }

    /// Sends the current value of a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        // A lost metric is not logged: the dump holds the same value.
        let _ = self.client.gauge(name, value);
    }

    /// Sends the increase of each result code counter since the last call.
    pub fn send_code_counts(&mut self, counters: &CodeCounters) {
        for code in ResultCode::ALL {
            let now = counters.get(*code);
            let before = self.sent.insert(*code, now).unwrap_or(0);
            if now > before {
                let name = format!("code.{}", code.number());
                let _ = self.client.count(&name, now - before);
            }
        }
    }
}

fn udp_sink(address: SocketAddr) -> io::Result<UdpMetricSink> {
    let socket = UdpSocket::bind("0.0.0.0:0")?;
    socket.set_nonblocking(true)?;
    UdpMetricSink::from(address, socket).map_err(io::Error::other)
}
