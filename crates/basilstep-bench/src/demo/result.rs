//! The result of a run and the guarantees that it is checked against.

use crate::fakes::caller::{CallerCounts, OfferOutcome};
use serde::Serialize;
use serde_json::{Map, Value};
use std::collections::BTreeMap;

/// The longest time that a failure domain which is out may still get packets.
const DOMAIN_OUT_LIMIT_S: f64 = 5.0;
/// The longest time that a draining target may still get new requests.
const DRAINING_LIMIT_S: f64 = 5.0;
/// The memory that invalid packets may add to a process: a few MB.
const MEMORY_GROWTH_LIMIT_KB: u64 = 4_096;
/// The longest time in which callers that lost a flow with its agent open a new one: their idle
/// timeout plus one retransmission.
const REOPENED_LIMIT_S: f64 = 6.0;
/// The highest ratio of the flows of a target to the mean of its service, at ten flows per target.
const IMBALANCE_LIMIT: f64 = 1.5;

/// The counts of the fakes over a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DemoResult {
    /// The counts of the callers.
    #[serde(flatten)]
    pub callers: CallerCounts,
    /// Offers that ran more than once, over all targets.
    pub ran_twice: u64,
    /// Offers that ran although their caller was told that they did not.
    pub not_run_but_ran: u64,
    /// Offers whose caller got a response although no target ran them.
    pub answered_but_not_run: u64,
    /// Requests that reached a target of another service.
    pub misrouted_packets: u64,
    /// Time from taking a domain out to the last packet sent to it.
    pub packets_to_out_domain_after_s: f64,
    /// Boards still open at targets of that domain a few seconds after it was taken out.
    pub boards_left_in_out_domain: u32,
    /// Requests to that domain after it came back; `None` if no domain was taken out.
    pub requests_to_returned_domain: Option<u64>,
    /// Time from the drain request to the last request at the draining target.
    pub requests_to_leaving_after_s: f64,
    /// Packets of callers that reached agents of a domain that is out, from a balancer that was
    /// paused when the domain was taken out.
    pub packets_to_out_agents_from_resumed: u64,
    /// Targets of a domain that is out that still got requests after the balancer resumed or
    /// restarted.
    pub out_targets_with_requests_after_resumption: u64,
    /// Time from an agent fault until the last affected caller opened a new flow.
    pub flows_reopened_after_s: f64,
    /// Requests that ran at a killed target after its restart; `None` if no target was killed.
    pub requests_to_restarted_target: Option<u64>,
    /// Time until a restarted balancer was ready without the store; `None` if it was not, or not
    /// tried.
    pub ready_without_store_after_s: Option<f64>,
    /// Requests that ran at the target whose agent was started without the store; `None` if there
    /// was none.
    pub requests_to_agent_without_store: Option<u64>,
    /// The largest memory growth of a process under invalid packets, in KiB.
    pub most_memory_growth_kb: u64,
    /// Processes whose dump counts none of the invalid packets.
    pub processes_that_count_no_drop: u64,
    /// Flows opened while the record of their service was invalid; `None` if no record was
    /// overwritten.
    pub flows_opened_on_good_record: Option<u64>,
    /// Balancers whose dump does not report an invalid record.
    pub balancers_that_hide_a_bad_record: u64,
    /// Boards open at each target before any fault.
    pub boards_by_target: BTreeMap<String, u32>,
    /// The highest ratio of the open boards of a target to the mean of its service.
    pub imbalance_max_over_mean: f64,
    /// Targets that the bench made cold without notice.
    pub targets_turned_cold: u64,
    /// How often targets collapsed under overload.
    pub targets_fell_over: u64,
    /// Requests that targets refused with 503.
    pub targets_shed: u64,
    /// Packets sent to each balancer.
    pub packets_by_balancer: BTreeMap<String, u64>,
    /// Processes that exited without being asked to.
    pub unexpected_ends: Vec<String>,
    /// Processes whose graceful stop failed or timed out.
    pub failed_stops: Vec<String>,
    /// Duration of the run, without the build.
    pub took_s: f64,
    /// The broken promises, with the count or value seen; empty if all were kept.
    pub broken_promises: Vec<String>,
}

impl DemoResult {
    /// Compares the outcomes of offers as seen by their callers with how often each offer ran.
    pub fn compare_offers(
        &mut self,
        outcomes: &BTreeMap<String, OfferOutcome>,
        runs: &BTreeMap<String, u32>,
    ) {
        self.ran_twice = runs.values().filter(|count| **count > 1).count() as u64;
        for (offer, outcome) in outcomes {
            let ran = runs.contains_key(offer);
            self.not_run_but_ran += u64::from(*outcome == OfferOutcome::NotRun && ran);
            self.answered_but_not_run += u64::from(*outcome == OfferOutcome::Answered && !ran);
        }
    }

    /// Checks all promises and fills in [`Self::broken_promises`].
    pub fn check_promises(&mut self) {
        let none = self.counts_that_must_be_zero();
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
                DRAINING_LIMIT_S,
            ),
            (
                "callers open new flows soon after an agent is lost",
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
                "an invalid record leaves the last valid one in force",
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

    /// Returns the promises that are kept if a count is 0, with the count.
    fn counts_that_must_be_zero(&self) -> Vec<(&'static str, u64)> {
        let callers = &self.callers;
        vec![
            ("an established flow survives", callers.flows_broken),
            ("a board loses no line", callers.board_gaps),
            ("no planned stop cuts a request", callers.boards_cut),
            (
                "a caller gets its own complete response",
                callers.answers_wrong + callers.board_lines_wrong,
            ),
            (
                "each attempt ends exactly once (difference)",
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
                // Requests in flight cannot be withdrawn when a target turns cold, so it may
                // collapse once each time.
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
                "invalid packets take no memory (KiB above the limit)",
                self.most_memory_growth_kb
                    .saturating_sub(MEMORY_GROWTH_LIMIT_KB),
            ),
            (
                "invalid packets are counted",
                self.processes_that_count_no_drop,
            ),
            (
                "an invalid record is reported in the dump",
                self.balancers_that_hide_a_bad_record,
            ),
            (
                "no process exits by itself",
                self.unexpected_ends.len() as u64,
            ),
            ("a planned stop is graceful", self.failed_stops.len() as u64),
        ]
    }

    const fn is_balancer_missing(&self) -> bool {
        self.requests_to_agent_without_store.is_some() && self.ready_without_store_after_s.is_none()
    }

    /// Formats the result as lines of a name and a value.
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
