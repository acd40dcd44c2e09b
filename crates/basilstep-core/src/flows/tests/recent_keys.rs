use crate::flows::recent_keys::RecentKeys;

/// Guards against memory that grows with the number of removed routes, and against the loss of the
/// latest ones.
#[test]
fn oldest_key_is_evicted_beyond_the_limit() {
    let mut keys = RecentKeys::new(2);
    keys.insert(1, 100);
    keys.insert(2, 200);
    keys.insert(1, 300);
    keys.insert(3, 400);
    assert_eq!(keys.keys_from(0).collect::<Vec<u8>>(), [1, 3]);
    keys.expire(400);
    assert_eq!(keys.keys_from(0).collect::<Vec<u8>>(), [3]);
}
