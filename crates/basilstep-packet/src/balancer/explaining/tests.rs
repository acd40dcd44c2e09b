use super::{ExplainError, address_in};
use basilstep_core::codes::ResultCode;
use rstest::rstest;

/// Guards against invalid input that gets an explanation of another flow, or no numbered error.
#[rstest]
#[case::missing("service_address=198.18.0.1:443")]
#[case::empty("caller=")]
#[case::no_port("caller=100.64.0.7")]
#[case::other_family("caller=[::1]:443")]
#[case::repeated("caller=100.64.0.7:1&caller=100.64.0.7:2")]
fn invalid_parameter_is_a_bad_request(#[case] query: &str) {
    let error = address_in(query, "caller").unwrap_err();
    assert_eq!(error.code(), ResultCode::BadRequest);
    assert_ne!(error.to_string(), "");
}

/// Guards against clients that escape the colon.
#[rstest]
#[case("caller=100.64.0.7:40001")]
#[case("service_address=x&caller=100.64.0.7%3A40001")]
fn address_is_read_with_and_without_escapes(#[case] query: &str) {
    let address: Result<_, ExplainError> = address_in(query, "caller");
    assert_eq!(address, Ok("100.64.0.7:40001".parse().unwrap()));
}
