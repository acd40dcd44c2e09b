//! The result of a run and the promises that it is held against.

use crate::fakes::caller::{CallerCounts, Ending};
use serde::Serialize;
use serde_json::{Map, Value};
use std::collections::BTreeMap;

/// The time after which a failure domain that is out gets no packet.
const DOMAIN_OUT_LIMIT_S: f64 = 5.0;
/// The time after which a leaving target gets no new work.
const LEAVING_LIMIT_S: f64 = 5.0;
/// A few MB: what strange packets may add to the memory of a process.
const MEMORY_GROWTH_LIMIT_KB: u64 = 4_096;
/// The time after which callers that lost a flow with its agent have new ones: their idle time-out
/// and one retransmission.
const REOPENED_LIMIT_S: f64 = 6.0;
/// The largest number of flows of a target over the mean of its service, with ten flows on each.
const IMBALANCE_LIMIT: f64 = 1.5;

/// What the stand-ins counted in a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DemoResult {
    /// What the callers counted.
    #[serde(flatten)]
    pub callers: CallerCounts,
    /// Offers that ran more than once, over all targets.
    pub ran_twice: u64,
    /// Offers that ran although their caller was told that they had not.
    pub not_run_but_ran: u64,
    /// Offers whose caller has an answer although no target ran them.
    pub answered_but_not_run: u64,
    /// Requests that reached a target of another service.
    pub misrouted_packets: u64,
    /// Time of the last packet to the domain that was out, counted from when it was taken out.
    pub packets_to_out_domain_after_s: f64,
    /// Boards still open at targets of the domain that was out, a few seconds after.
    pub boards_left_in_out_domain: u32,
    /// Requests to the domain that was out, after it came back; `None` when none was out.
    pub requests_to_returned_domain: Option<u64>,
    /// Time of the last request to the leaving target, counted from when it was told to leave.
    pub requests_to_leaving_after_s: f64,
    /// Callers' packets that came to agents of the domain that was out, from a balancer that had
    /// been paused when it was taken out.
    pub packets_to_out_agents_from_resumed: u64,
    /// Targets of the domain that was out which got requests long after.
    pub out_targets_with_requests_after_resumption: u64,
    /// When the last caller that lost its flow with an agent had a new one, counted from the fault.
    pub flows_reopened_after_s: f64,
    /// Requests that ran at the target that was killed, after its return; `None` when none was.
    pub requests_to_restarted_target: Option<u64>,
    /// How long a balancer took to be ready without the store; `None` when it was not or not tried.
    pub ready_without_store_after_s: Option<f64>,
    /// Requests that ran at the target whose agent was started without the store; `None` when
    /// none was.
    pub requests_to_agent_without_store: Option<u64>,
    /// The most that the memory of a process grew by strange packets, in KiB.
    pub most_memory_growth_kb: u64,
    /// Processes whose dump counts none of the strange packets.
    pub processes_that_count_no_drop: u64,
    /// Flows that opened while the record of their service was a bad one; `None` when none was.
    pub flows_opened_on_good_record: Option<u64>,
    /// Balancers whose dump does not show a bad record.
    pub balancers_that_hide_a_bad_record: u64,
    /// Boards open at each target in calm.
    pub boards_by_target: BTreeMap<String, u32>,
    /// Open flows of the fullest target over the mean of its service, where it is worst.
    pub imbalance_max_over_mean: f64,
    /// Targets that the bench turned cold without notice.
    pub targets_turned_cold: u64,
    /// How often targets fell over.
    pub targets_fell_over: u64,
    /// Requests that targets refused themselves.
    pub targets_shed: u64,
    /// Packets sent to each balancer.
    pub packets_by_balancer: BTreeMap<String, u64>,
    /// Processes that ended although nothing told them to.
    pub unexpected_ends: Vec<String>,
    /// Processes whose graceful stop failed.
    pub failed_stops: Vec<String>,
    /// How long the run took, without building.
    pub took_s: f64,
    /// The promises that were broken; empty when all were kept.
    pub broken_promises: Vec<String>,
}

impl DemoResult {
    /// Compares how offers ended for their callers with how often they ran.
    pub fn compare_offers(
        &mut self,
        endings: &BTreeMap<String, Ending>,
        runs: &BTreeMap<String, u32>,
    ) {
        self.ran_twice = runs.values().filter(|count| **count > 1).count() as u64;
        for (offer, ending) in endings {
            let ran = runs.contains_key(offer);
            self.not_run_but_ran += u64::from(*ending == Ending::NotRun && ran);
            self.answered_but_not_run += u64::from(*ending == Ending::Answered && !ran);
        }
    }

    /// Fills in which promises were broken.
    pub fn judge(&mut self) {
        let none = self.must_be_none();
        let mut broken: Vec<String> = none
            .iter()
            .filter(|(_, count)| *count > 0)
            .map(|(promise, count)| format!("{promise}: {count}"))
            .collect();
        let limits = [
            (
                "a domain that is out gets no packet after a few seconds",
                self.packets_to_out_domain_after_s,
                DOMAIN_OUT_LIMIT_S,
            ),
            (
                "a leaving target gets no new work after a few seconds",
                self.requests_to_leaving_after_s,
                LEAVING_LIMIT_S,
            ),
            (
                "callers soon have new flows when an agent is lost",
                self.flows_reopened_after_s,
                REOPENED_LIMIT_S,
            ),
            (
                "load is spread evenly",
                self.imbalance_max_over_mean,
                IMBALANCE_LIMIT,
            ),
        ];
        for (promise, seen, limit) in limits {
            if seen > limit {
                broken.push(format!("{promise}: {seen:.2}, allowed {limit}"));
            }
        }
        let some = [
            ("requests are served", self.callers.answers_whole),
            (
                "a domain that is back serves",
                self.requests_to_returned_domain.unwrap_or(1),
            ),
            (
                "a bad record leaves the last good one in force",
                self.flows_opened_on_good_record.unwrap_or(1),
            ),
            (
                "a target that is back serves",
                self.requests_to_restarted_target.unwrap_or(1),
            ),
            (
                "a balancer and an agent start without the store",
                self.requests_to_agent_without_store.unwrap_or(1)
                    * u64::from(!self.is_balancer_missing()),
            ),
        ];
        for (promise, count) in some {
            if count == 0 {
                broken.push(format!("{promise}: 0"));
            }
        }
        self.broken_promises = broken;
    }

    /// Returns the promises that hold when a count is 0.
    fn must_be_none(&self) -> Vec<(&'static str, u64)> {
        let callers = &self.callers;
        vec![
            ("an established flow survives", callers.flows_broken),
            ("a board loses no line", callers.board_gaps),
            ("no planned stop cuts a request", callers.boards_cut),
            (
                "a caller gets its own whole answer",
                callers.answers_wrong + callers.board_lines_wrong,
            ),
            (
                "each attempt has one end (difference)",
                callers.requests_sent.abs_diff(callers.attempts_ended()),
            ),
            ("no packet reaches another service", self.misrouted_packets),
            ("an offer runs at most once", self.ran_twice),
            (
                "what was refused as not run did not run",
                self.not_run_but_ran,
            ),
            ("what was answered did run", self.answered_but_not_run),
            (
                "no target gets more than it can bear",
                // What is in flight when a target turns cold cannot be taken back: it may fall
                // over once for each such turn.
                self.targets_fell_over
                    .saturating_sub(self.targets_turned_cold),
            ),
            (
                "a domain that is out gets no packet of a resumed balancer",
                self.packets_to_out_agents_from_resumed,
            ),
            (
                "a domain that is out gets no request long after",
                self.out_targets_with_requests_after_resumption,
            ),
            (
                "strange packets take no memory (KiB above the limit)",
                self.most_memory_growth_kb
                    .saturating_sub(MEMORY_GROWTH_LIMIT_KB),
            ),
            (
                "strange packets are counted",
                self.processes_that_count_no_drop,
            ),
            (
                "a bad record shows in the dump",
                self.balancers_that_hide_a_bad_record,
            ),
            (
                "no process ends by itself",
                self.unexpected_ends.len() as u64,
            ),
            ("a planned stop is graceful", self.failed_stops.len() as u64),
        ]
    }

    const fn is_balancer_missing(&self) -> bool {
        self.requests_to_agent_without_store.is_some() && self.ready_without_store_after_s.is_none()
    }

    /// Returns the result as lines of a name and a value.
    pub fn table(&self) -> String {
        let fields = match serde_json::to_value(self) {
            Ok(Value::Object(fields)) => fields,
            _ => Map::new(),
        };
        let values = fields
            .iter()
            .filter(|(name, _)| !matches!(name.as_str(), "broken_promises" | "remarks"))
            .map(|(name, value)| format!("{name:32} {value}\n"));
        let promises = self.broken_promises.iter();
        let promises = promises.map(|promise| format!("broken promise: {promise}\n"));
        let remarks = self.callers.remarks.iter();
        let remarks = remarks.flat_map(|(kind, texts)| {
            let line = move |text| format!("{kind:?}: {text}\n");
            texts.iter().map(line)
        });
        values.chain(promises).chain(remarks).collect()
    }
}
