//! The controller's message handlers.

use super::{
    BalancersListed, CollectSettingsDelta, Controller, DatagramReceived, Drain, IsStoreWatcher,
    SettingsDeltaFetched, SnapshotFetched, StoreTreeRead, TakeSnapshot, Tick, log_apply_outcome,
};
use basilstep_core::{
    membership::{AgentPhase, MembershipMessage, MembershipSnapshot, SettingsDelta},
    wire::decode_authenticated,
};
use xtra::{Context, Handler};

impl Handler<Tick> for Controller {
    type Return = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self>) {
        self.shared.clock.refresh(&mut self.context);
        let actions = self.membership.on_tick(&mut self.context);
        self.execute_actions(actions);
        self.refresh_table();
        let is_confirmed = self.membership.is_joined() && self.shared.has_newest_settings();
        let until_ms = self.pause_guard.on_tick(self.context.now_ms, is_confirmed);
        self.shared.set_forward_until(until_ms);
        self.retry_bind();
        self.refresh_readiness();
    }
}

impl Handler<DatagramReceived> for Controller {
    type Return = ();

    async fn handle(&mut self, received: DatagramReceived, _: &mut Context<Self>) {
        let key = &self.shared.keys.gossip;
        let message = match decode_authenticated::<MembershipMessage>(key, &received.bytes) {
            Ok(message) => message,
            Err(error) => return self.shared.counters.increment(error.code()),
        };
        self.shared.clock.refresh(&mut self.context);
        let actions = self
            .membership
            .on_datagram(received.from, &message, &mut self.context);
        self.execute_actions(actions);
    }
}

impl Handler<StoreTreeRead> for Controller {
    type Return = ();

    async fn handle(&mut self, read: StoreTreeRead, _: &mut Context<Self>) {
        self.shared.clock.refresh(&mut self.context);
        self.membership.on_store_answer(&self.context);
        let snapshot = read.0;
        let applied = snapshot.apply_to(&mut self.settings);
        self.store_is_behind = self.settings.outdated_store_index().is_some();
        for (path, outcome) in applied {
            log_apply_outcome(&path, &outcome);
        }
        self.on_settings_changed();
    }
}

impl Handler<BalancersListed> for Controller {
    type Return = ();

    async fn handle(&mut self, listed: BalancersListed, _: &mut Context<Self>) {
        self.shared.clock.refresh(&mut self.context);
        let actions = self
            .membership
            .on_balancer_list(&listed.0, &mut self.context);
        self.execute_actions(actions);
    }
}

impl Handler<SettingsDeltaFetched> for Controller {
    type Return = ();

    async fn handle(&mut self, fetched: SettingsDeltaFetched, _: &mut Context<Self>) {
        self.apply_delta(fetched.0);
    }
}

impl Handler<SnapshotFetched> for Controller {
    type Return = ();

    async fn handle(&mut self, fetched: SnapshotFetched, _: &mut Context<Self>) {
        self.shared.clock.refresh(&mut self.context);
        let actions = self
            .membership
            .merge_snapshot(&fetched.0, &mut self.context);
        self.execute_actions(actions);
    }
}

impl Handler<Drain> for Controller {
    type Return = ();

    async fn handle(&mut self, _: Drain, _: &mut Context<Self>) {
        self.is_stopping = true;
        self.refresh_readiness();
        let actions = self
            .membership
            .set_phase(AgentPhase::Draining, &mut self.context);
        self.execute_actions(actions);
    }
}

impl Handler<IsStoreWatcher> for Controller {
    type Return = bool;

    async fn handle(&mut self, _: IsStoreWatcher, _: &mut Context<Self>) -> bool {
        self.settings.version() == 0 || self.membership.is_store_watcher(self.shared.clock.now_ms())
    }
}

impl Handler<CollectSettingsDelta> for Controller {
    type Return = Option<SettingsDelta>;

    async fn handle(
        &mut self,
        request: CollectSettingsDelta,
        _: &mut Context<Self>,
    ) -> Self::Return {
        let service = match &request.service {
            Some(path) => Some(self.settings.view().service_at(path)?.record.id),
            None => None,
        };
        Some(SettingsDelta::collect(
            &self.settings,
            request.above_version,
            service,
        ))
    }
}

impl Handler<TakeSnapshot> for Controller {
    type Return = Option<MembershipSnapshot>;

    async fn handle(&mut self, _: TakeSnapshot, _: &mut Context<Self>) -> Self::Return {
        // The first message after a pause may be this one, before the next tick.
        self.shared.clock.refresh(&mut self.context);
        self.membership.detect_pause(&self.context);
        self.membership.snapshot(self.context.now_ms)
    }
}
