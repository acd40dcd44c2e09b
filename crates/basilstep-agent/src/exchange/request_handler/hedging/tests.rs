use super::is_bodyless;
use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Empty;
use rstest::rstest;

/// Guards against OPTIONS requests that are retried where second copies are off, as none was before.
#[rstest]
#[case::options_without_hedging(Method::OPTIONS, false, false)]
#[case::options_with_hedging(Method::OPTIONS, true, true)]
#[case::get_without_hedging(Method::GET, false, true)]
#[case::put_with_hedging(Method::PUT, true, false)]
fn only_hedging_makes_options_repeatable(
    #[case] method: Method,
    #[case] allows_hedges: bool,
    #[case] is_repeatable: bool,
) {
    let request = Request::builder().method(method).body(());
    let (head, ()) = request.expect("a valid request").into_parts();
    let body = Empty::<Bytes>::new();
    assert_eq!(is_bodyless(&head, &body, allows_hedges), is_repeatable);
}
