//! What the controller does with each message.

use super::{
    BalancersListed, CollectDelta, Controller, DeltaFetched, Leave, Received, SnapshotFetched,
    StoreAnswered, TakeSnapshot, Tick, WatchesStore, log_applied,
};
use basilstep_core::{
    membership::{AgentPhase, MembershipMessage, SettingsDelta, Snapshot},
    wire::decode_authenticated,
};
use xtra::{Context, Handler};

impl Handler<Tick> for Controller {
    type Return = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self>) {
        self.shared.clock.refresh(&mut self.environment);
        let actions = self.membership.on_tick(&mut self.environment);
        self.carry_out(actions);
        self.refresh_table();
        let is_confirmed = self.membership.is_joined() && self.shared.has_newest_settings();
        let until_ms = self.pause.on_tick(self.environment.now_ms, is_confirmed);
        self.shared.set_carry_until(until_ms);
        self.retry_binding();
        self.refresh_readiness();
    }
}

impl Handler<Received> for Controller {
    type Return = ();

    async fn handle(&mut self, received: Received, _: &mut Context<Self>) {
        let key = &self.shared.keys.gossip;
        let message = match decode_authenticated::<MembershipMessage>(key, &received.bytes) {
            Ok(message) => message,
            Err(error) => return self.shared.counters.increment(error.code()),
        };
        self.shared.clock.refresh(&mut self.environment);
        let actions = self
            .membership
            .on_datagram(received.from, &message, &mut self.environment);
        self.carry_out(actions);
    }
}

impl Handler<StoreAnswered> for Controller {
    type Return = ();

    async fn handle(&mut self, answer: StoreAnswered, _: &mut Context<Self>) {
        self.shared.clock.refresh(&mut self.environment);
        self.membership.on_store_answer(&self.environment);
        let reading = answer.0;
        let applied = reading.apply_to(&mut self.settings);
        self.store_is_behind = self.settings.outdated_store_index().is_some();
        for (path, outcome) in applied {
            log_applied(&path, &outcome);
        }
        self.settings_changed();
    }
}

impl Handler<BalancersListed> for Controller {
    type Return = ();

    async fn handle(&mut self, listed: BalancersListed, _: &mut Context<Self>) {
        self.shared.clock.refresh(&mut self.environment);
        let actions = self
            .membership
            .on_balancer_list(&listed.0, &mut self.environment);
        self.carry_out(actions);
    }
}

impl Handler<DeltaFetched> for Controller {
    type Return = ();

    async fn handle(&mut self, fetched: DeltaFetched, _: &mut Context<Self>) {
        self.apply_delta(fetched.0);
    }
}

impl Handler<SnapshotFetched> for Controller {
    type Return = ();

    async fn handle(&mut self, fetched: SnapshotFetched, _: &mut Context<Self>) {
        self.shared.clock.refresh(&mut self.environment);
        let actions = self
            .membership
            .merge_snapshot(&fetched.0, &mut self.environment);
        self.carry_out(actions);
    }
}

impl Handler<Leave> for Controller {
    type Return = ();

    async fn handle(&mut self, _: Leave, _: &mut Context<Self>) {
        self.is_stopping = true;
        self.refresh_readiness();
        let actions = self
            .membership
            .set_phase(AgentPhase::Draining, &mut self.environment);
        self.carry_out(actions);
    }
}

impl Handler<WatchesStore> for Controller {
    type Return = bool;

    async fn handle(&mut self, _: WatchesStore, _: &mut Context<Self>) -> bool {
        self.settings.version() == 0 || self.membership.is_store_watcher(self.shared.clock.now_ms())
    }
}

impl Handler<CollectDelta> for Controller {
    type Return = Option<SettingsDelta>;

    async fn handle(&mut self, wanted: CollectDelta, _: &mut Context<Self>) -> Self::Return {
        let service = match &wanted.service {
            Some(path) => Some(self.settings.view().service_at(path)?.record.id),
            None => None,
        };
        Some(SettingsDelta::collect(
            &self.settings,
            wanted.above_version,
            service,
        ))
    }
}

impl Handler<TakeSnapshot> for Controller {
    type Return = Snapshot;

    async fn handle(&mut self, _: TakeSnapshot, _: &mut Context<Self>) -> Snapshot {
        self.membership.snapshot(self.shared.clock.now_ms())
    }
}
