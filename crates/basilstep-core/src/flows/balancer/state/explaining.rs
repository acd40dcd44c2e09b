//! Explanations of placements for operators.

use super::{
    BalancerFlows,
    syn::{MatchedRoute, NewPlacement, SynPlan},
};
use crate::{
    codes::ResultCode,
    context::Context,
    flows::{
        balancer::{
            agent_table::AgentTable,
            explain::{ExplainedHint, Explanation, NoRoute, PlacementOutcome},
            search::Search,
        },
        key::FlowKey,
    },
};
use std::borrow::Cow;

impl BalancerFlows {
    /// Explains where the first SYN of `flow` would go if it arrived now.
    ///
    /// It changes no state and sends nothing; the choice is that of the functions that place SYNs.
    ///
    /// # Errors
    ///
    /// Returns [`NoRoute`] when no route leads from the flow's service address to a service.
    pub fn explain_placement(&self, flow: FlowKey, ctx: &Context) -> Result<Explanation, NoRoute> {
        let plan = self.plan_syn(&flow, ctx.now_ms, ctx);
        let hint = self.hints.get(&flow).map(|hint| ExplainedHint {
            agent: hint.agent,
            is_confirmed: hint.is_confirmed,
        });
        let placement = match plan {
            SynPlan::Follow(hint) => NewPlacement {
                service: Some(hint.service),
                ..NewPlacement::default()
            },
            SynPlan::Place(placement) => placement,
        };
        let Some(matched) = self.match_route(&flow, placement.service) else {
            return Err(NoRoute {
                service_address: flow.service_address,
                version: self.fleet.table.version,
            });
        };
        let agents = self.agents_after(&placement, ctx);
        let search = self.searches.get(&flow);
        let search = search.filter(|_| placement.keeps_refusals);
        let service = matched.service;
        let kind = matched.route.kind;
        let placement = self.placement_context(Search::refusals(search), service, kind, ctx);
        let mut details = agents.placement_details(&flow, service, &placement, &self.settings);
        let outcome = match plan {
            _ if self.is_backlog_stale => PlacementOutcome::Refused {
                code: ResultCode::Recovering,
            },
            SynPlan::Follow(hint) => PlacementOutcome::Hinted { agent: hint.agent },
            SynPlan::Place(_) => {
                let offers_left = self.offers_left(search, matched.rank);
                match self.choose_agent(&agents, &flow, service, &placement, offers_left) {
                    Some(agent) if details.probe == Some(agent) => {
                        PlacementOutcome::Probe { agent }
                    }
                    Some(agent) => PlacementOutcome::Chosen { agent },
                    None if offers_left == Some(0) => PlacementOutcome::Refused {
                        code: ResultCode::Overloaded,
                    },
                    None => PlacementOutcome::Refused {
                        code: ResultCode::NoTarget,
                    },
                }
            }
        };
        let left_out = details.truncate();
        let MatchedRoute { route, rank, .. } = matched;
        Ok(Explanation {
            flow,
            version: self.fleet.table.version,
            service,
            request_kind: route.kind,
            priority_level: rank.level,
            priority_levels: rank.levels,
            latency_goal_ms: route.latency_goal_ms,
            hint,
            outcome,
            candidates: details.candidates,
            passed_over: details.passed_over,
            left_out,
        })
    }

    /// Returns the agents as they would be when an agent is chosen: one that has not confirmed an
    /// earlier SYN of the flow in time is doubted by then.
    fn agents_after(&self, placement: &NewPlacement, ctx: &Context) -> Cow<'_, AgentTable> {
        let mut agents = Cow::Borrowed(&self.agents);
        if let Some(agent) = placement.doubted {
            let until_ms = ctx.now_ms + self.settings.syns.doubt_ms;
            agents.to_mut().doubt_until(agent, until_ms);
        }
        agents
    }
}
