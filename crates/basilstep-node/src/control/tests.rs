use super::{Credential, CredentialVerifier};
use basilstep_core::crypto::SipHashKey;
use rstest::rstest;

const KEY: SipHashKey = SipHashKey([7; 16]);
const NOW_S: u64 = 1_000_000;

fn header(key: &SipHashKey, time_s: u64) -> String {
    Credential::sign(key, "GET", "/dump", time_s, 42).to_header()
}

#[test]
fn valid_credential_is_accepted_once() {
    let mut verifier = CredentialVerifier::new(KEY);
    let header = header(&KEY, NOW_S);
    assert!(verifier.verify(&header, "GET", "/dump", NOW_S));
    assert!(!verifier.verify(&header, "GET", "/dump", NOW_S));
}

#[rstest]
#[case::foreign_key(header(&SipHashKey([8; 16]), NOW_S), "/dump")]
#[case::too_old(header(&KEY, NOW_S - 61), "/dump")]
#[case::from_the_future(header(&KEY, NOW_S + 61), "/dump")]
#[case::other_path(header(&KEY, NOW_S), "/drain")]
#[case::not_hex("zz".repeat(24), "/dump")]
#[case::cut_short(header(&KEY, NOW_S)[..40].to_owned(), "/dump")]
#[case::empty(String::new(), "/dump")]
fn invalid_credential_is_rejected(#[case] header: String, #[case] path: &str) {
    assert!(!CredentialVerifier::new(KEY).verify(&header, "GET", path, NOW_S));
}
