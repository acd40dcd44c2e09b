use super::builders::service_record;
use crate::settings::{SERVICE_RANGES, ServiceRecord, check_name, check_service};
use rstest::rstest;

#[test]
fn defaults_are_allowed() {
    assert_eq!(check_service(&service_record()), Ok(()));
}

#[rstest]
#[case::zero_requests(|r: &mut ServiceRecord| r.admission.request_limit = 0,
    "admission.request_limit is 0; allowed: 1 to 100000 requests")]
#[case::cold_above_full(|r: &mut ServiceRecord| r.admission.cold_request_limit = 65,
    "admission.cold_request_limit is 65; allowed: at most admission.request_limit, which is 64")]
#[case::retry_times(|r: &mut ServiceRecord| r.admission.retry_after_max_ms = 99,
    "admission.retry_after_min_ms is 100; allowed: at most admission.retry_after_max_ms, which is 99")]
#[case::deadline(|r: &mut ServiceRecord| r.requests.deadline_ms = 0,
    "requests.deadline_ms is 0; allowed: 1 to 3600000 ms")]
#[case::budget(|r: &mut ServiceRecord| r.requests.retry_budget_percent = 101,
    "requests.retry_budget_percent is 101; allowed: 0 to 100 percent")]
#[case::address(|r: &mut ServiceRecord| r.address = "0.0.0.0:1".parse().unwrap(),
    "address is 0.0.0.0:1; allowed: an IPv4 address and a port other than 0")]
fn value_out_of_range_is_reported_with_the_allowed_range(
    #[case] change: fn(&mut ServiceRecord),
    #[case] message: &str,
) {
    let mut record = service_record();
    change(&mut record);
    assert_eq!(check_service(&record).unwrap_err().to_string(), message);
}

#[test]
fn each_number_of_a_record_has_a_range() {
    let record = serde_json::to_value(service_record()).unwrap();
    let numbers: Vec<String> = ["admission", "requests"]
        .into_iter()
        .flat_map(|group| {
            let fields = record[group].as_object().unwrap();
            fields
                .iter()
                .filter(|(_, value)| value.is_number())
                .map(move |(field, _)| format!("{group}.{field}"))
        })
        .collect();
    let mut ranges: Vec<&str> = SERVICE_RANGES.iter().map(|range| range.name).collect();
    ranges.sort_unstable();
    assert_eq!(ranges, numbers);
}

#[rstest]
#[case::plain("seat-holds2", true)]
#[case::empty("", false)]
#[case::slash("a/b", false)]
#[case::upper("A", false)]
#[case::too_long(&"a".repeat(64), false)]
fn name_is_one_segment_of_a_path(#[case] name: &str, #[case] allowed: bool) {
    assert_eq!(check_name("team", name).is_ok(), allowed);
}
