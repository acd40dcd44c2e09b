//! Tasks that read from and write to the platform's metadata store.

mod era_signal;
mod operator_settings;
mod registration;
mod route_history;

use basilstep_core::flows::{FleetSettings, balancer::PastRoutes};
use basilstep_platform::store::StoreError;
use tokio::time::Instant;

pub use era_signal::EraSignal;
pub use operator_settings::{SettingsWatcher, watch_operator_settings};
pub use registration::{RegisteredBalancer, Registration, list_balancers, maintain_registration};
pub use route_history::{RouteHistoryDuty, RouteHistoryKeeper, maintain_route_history};

/// An event from the store.
#[derive(Debug)]
pub enum StoreEvent {
    /// The current settings of the operators.
    Settings(ConfirmedSettings),
    /// Settings of the operators that later ones have replaced since.
    PassedSettings(FleetSettings),
    /// The store has confirmed that the settings had not changed at this time.
    Unchanged(Instant),
    /// What the store says of the routes before the start of this process.
    PastRoutes(PastRoutes),
    /// The registered balancers.
    Balancers(Vec<Registration>),
}

/// Settings of the operators that were the newest at some time.
#[derive(Clone, Debug)]
pub struct ConfirmedSettings {
    /// The settings.
    pub settings: FleetSettings,
    /// A time at which no newer ones existed.
    pub confirmed: Instant,
}

/// Logs once when the connection to the store is lost and once when it is restored.
#[derive(Debug)]
struct ConnectionLog {
    what: &'static str,
    is_lost: bool,
}

impl ConnectionLog {
    const fn new(what: &'static str) -> Self {
        Self {
            what,
            is_lost: false,
        }
    }

    fn log_lost(&mut self, error: &StoreError) {
        if !self.is_lost {
            log::warn!(what = self.what, reason:% = error; "the store is lost");
        }
        self.is_lost = true;
    }

    fn log_restored(&mut self) {
        if self.is_lost {
            log::info!(what = self.what; "the store is back");
        }
        self.is_lost = false;
    }
}
