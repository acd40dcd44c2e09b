//! Executes the actions that membership returns.

use super::{Controller, SettingsDeltaFetched, SnapshotFetched};
use basilstep_core::{
    address::BalancerAddress,
    membership::{MembershipAction, MembershipMessage, SettingsDelta},
    wire::encode_authenticated,
};
use std::net::SocketAddrV4;

const MAX_DATAGRAM_BYTES: usize = 1_500;

impl Controller {
    pub(super) fn execute_actions(&mut self, actions: Vec<MembershipAction>) {
        for action in actions {
            match action {
                MembershipAction::Send { to, message } => self.send(to, &message),
                MembershipAction::AgentsChanged { .. } | MembershipAction::BalancersChanged => {
                    self.is_table_outdated = true;
                }
                MembershipAction::FetchSnapshot { from } => self.fetch_snapshot(from),
                MembershipAction::FetchSettings { from, version } => {
                    self.shared.note_settings_version(version);
                    self.pull_settings(from);
                }
                MembershipAction::FetchSettingsOverTcp { from, .. } => {
                    self.fetch_settings_over_tcp(from);
                }
                MembershipAction::ServeSettings {
                    to,
                    above_version,
                    service,
                } => {
                    let delta = SettingsDelta::collect(&self.settings, above_version, service);
                    self.send(to, &delta.into_message());
                }
                MembershipAction::ApplySettings { delta } => self.apply_delta(delta),
            }
        }
    }

    fn send(&self, to: SocketAddrV4, message: &MembershipMessage) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let Ok(length) = encode_authenticated(&self.shared.keys.gossip, message, &mut buffer)
        else {
            log::error!("membership message is too long for a datagram");
            return;
        };
        // Membership retransmits what matters.
        let _ = self.carrier.try_send_to(&buffer[..length], to.into());
    }

    fn pull_settings(&self, from: SocketAddrV4) {
        self.send(from, &self.membership.pull_settings());
    }

    fn fetch_settings_over_tcp(&self, from: SocketAddrV4) {
        let Some(self_address) = self.self_address.clone() else {
            return;
        };
        let client = self.client.clone();
        let path = format!("/settings?above={}", self.settings.version());
        tokio::spawn(async move {
            let Ok(body) = client.get(from, &path).await else {
                return;
            };
            if let Ok(delta) = serde_json::from_slice(&body) {
                // Sending fails only while the process is exiting.
                let _ = self_address.send(SettingsDeltaFetched(delta)).await;
            }
        });
    }

    fn fetch_snapshot(&self, from: BalancerAddress) {
        let Some(self_address) = self.self_address.clone() else {
            return;
        };
        let client = self.client.clone();
        tokio::spawn(async move {
            let Ok(body) = client.get(from.0, "/snapshot").await else {
                return;
            };
            if let Ok(snapshot) = postcard::from_bytes(&body) {
                // Sending fails only while the process is exiting.
                let _ = self_address.send(SnapshotFetched(snapshot)).await;
            }
        });
    }
}
