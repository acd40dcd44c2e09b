use super::RecordedResponse;
use http::{Response, header};

/// Guards against a repeated answer whose compressed body the caller cannot read.
#[test]
fn repeated_answer_keeps_the_encoding_of_its_body() {
    let response = Response::builder()
        .header(header::CONTENT_ENCODING, "gzip")
        .header(header::DATE, "now")
        .body(());
    let (head, ()) = response.expect("a valid response").into_parts();
    let bytes = RecordedResponse::from_parts(&head, b"body").to_bytes();
    let repeated = RecordedResponse::decode_response(&bytes);
    assert_eq!(repeated.headers()[header::CONTENT_ENCODING], "gzip");
    assert!(!repeated.headers().contains_key(header::DATE));
}
