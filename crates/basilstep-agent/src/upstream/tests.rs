use super::remove_hop_by_hop;
use http::{HeaderMap, HeaderValue};

/// Guards against answers that HTTP/3 callers reject as malformed.
#[test]
fn fields_of_a_connection_are_not_passed_on() {
    let mut headers = HeaderMap::new();
    for name in ["connection", "keep-alive", "proxy-connection", "upgrade"] {
        headers.insert(name, HeaderValue::from_static("a"));
    }
    remove_hop_by_hop(&mut headers);
    assert!(headers.is_empty(), "{headers:?}");
}
