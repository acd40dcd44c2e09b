//! Metrics through `cadence`; off unless an address is set.

use crate::counters::CodeCounters;
use basilstep_core::codes::ResultCode;
use cadence::{Counted, Gauged, NopMetricSink, StatsdClient, UdpMetricSink};
use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, UdpSocket},
};

/// Sends metrics to a statsd address, or nowhere.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
    sent: BTreeMap<ResultCode, u64>,
}

impl Metrics {
    /// Opens the sink.
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

    /// Reports the current value of something.
    pub fn gauge(&self, name: &str, value: u64) {
        // A metric that is lost is not worth a log line: the dump holds the same figure.
        let _ = self.client.gauge(name, value);
    }

    /// Reports how far each code counter has risen since the last call.
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
