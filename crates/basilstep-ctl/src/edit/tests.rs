use super::{SettingsEditor, WriteConfirmation, difference};
use basilstep_core::{codes::ResultCode, settings::WriteStamp};
use basilstep_node::store::{
    Listing, RenewalOutcome, SessionId, Store, StoreError, StoredRecord, TreeSnapshot, WriteOutcome,
};
use rstest::rstest;
use serde::Serialize;
use serde_json::json;
use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::Duration,
};

const PATH: &str = "teams/a/services/x";

/// How the fake store handles the next write.
#[derive(Clone, Copy, Debug)]
enum WriteBehaviour {
    /// The write takes effect and the response arrives.
    Respond,
    /// The write takes effect; the response is lost.
    LoseResponse,
    /// The write is lost before it takes effect.
    LoseRequest,
    /// The write takes effect, another operator overwrites it, and the response is lost.
    Overwrite,
    /// Another operator writes first.
    OtherFirst,
}

/// A store with one record that follows a script.
#[derive(Clone, Debug, Default)]
struct FakeStore(Arc<Mutex<FakeStoreState>>);

#[derive(Debug, Default)]
struct FakeStoreState {
    record: Option<(u64, String)>,
    index: u64,
    script: VecDeque<WriteBehaviour>,
    reads_fail: bool,
    writes: usize,
}

impl FakeStoreState {
    fn put(&mut self, value: Option<&str>, expected: u64) -> WriteOutcome {
        let version = self.record.as_ref().map_or(0, |(version, _)| *version);
        if version != expected {
            return WriteOutcome::Conflict;
        }
        self.index += 1;
        self.record = value.map(|value| (self.index, value.to_owned()));
        WriteOutcome::Written
    }

    fn put_by_other(&mut self) {
        self.index += 1;
        let value = json!({ "stamp": { "write_id": "other" } }).to_string();
        self.record = Some((self.index, value));
    }

    fn write(&mut self, value: Option<&str>, expected: u64) -> WriteOutcome {
        self.writes += 1;
        match self.script.pop_front().unwrap_or(WriteBehaviour::Respond) {
            WriteBehaviour::Respond => self.put(value, expected),
            WriteBehaviour::LoseResponse => {
                self.put(value, expected);
                WriteOutcome::Unknown
            }
            WriteBehaviour::LoseRequest => WriteOutcome::Unknown,
            WriteBehaviour::Overwrite => {
                self.put(value, expected);
                self.put_by_other();
                WriteOutcome::Unknown
            }
            WriteBehaviour::OtherFirst => {
                self.put_by_other();
                self.put(value, expected)
            }
        }
    }
}

impl Store for FakeStore {
    async fn read_tree(&self, _: &str) -> Result<TreeSnapshot, StoreError> {
        Ok(TreeSnapshot::default())
    }

    async fn watch_tree(&self, _: &str, _: u64) -> Result<TreeSnapshot, StoreError> {
        Ok(TreeSnapshot::default())
    }

    async fn list(&self, _: &str) -> Result<Listing, StoreError> {
        Ok(Listing::default())
    }

    async fn watch_list(&self, _: &str, _: u64) -> Result<Listing, StoreError> {
        Ok(Listing::default())
    }

    async fn read(&self, _: &str) -> Result<Option<StoredRecord>, StoreError> {
        let fake = self.0.lock().unwrap();
        if fake.reads_fail {
            let reason = "down".to_owned();
            return Err(StoreError::Unavailable { reason });
        }
        Ok(fake.record.clone().map(|(version, value)| StoredRecord {
            version,
            value,
            session: None,
        }))
    }

    async fn write(&self, _: &str, value: &str, expected: u64) -> Result<WriteOutcome, StoreError> {
        Ok(self.0.lock().unwrap().write(Some(value), expected))
    }

    async fn delete(&self, _: &str, expected: u64) -> Result<WriteOutcome, StoreError> {
        Ok(self.0.lock().unwrap().write(None, expected))
    }

    async fn create_session(&self, _: Duration) -> Result<SessionId, StoreError> {
        Ok(SessionId("1".to_owned()))
    }

    async fn renew_session(&self, _: &SessionId) -> Result<RenewalOutcome, StoreError> {
        Ok(RenewalOutcome::Renewed)
    }

    async fn destroy_session(&self, _: &SessionId) -> Result<(), StoreError> {
        Ok(())
    }

    async fn acquire(&self, _: &str, _: &str, _: &SessionId) -> Result<WriteOutcome, StoreError> {
        Ok(WriteOutcome::Written)
    }
}

#[derive(Serialize)]
struct Note {
    stamp: WriteStamp,
}

fn store(script: &[WriteBehaviour]) -> FakeStore {
    let fake = FakeStoreState {
        script: script.iter().copied().collect(),
        ..FakeStoreState::default()
    };
    FakeStore(Arc::new(Mutex::new(fake)))
}

async fn write(store: &FakeStore) -> Result<WriteConfirmation, ResultCode> {
    let editor = SettingsEditor::new(store.clone(), Some("a"), "tester");
    let stamp = editor.stamp();
    let note = Note {
        stamp: stamp.clone(),
    };
    let result = editor.write(PATH, &note, &stamp, 0).await;
    result.map_err(|error| error.code)
}

#[rstest]
#[case::acknowledged(&[WriteBehaviour::Respond], Ok(WriteConfirmation::Acknowledged))]
#[case::response_lost(&[WriteBehaviour::LoseResponse], Ok(WriteConfirmation::ReadBack))]
#[case::request_lost(&[WriteBehaviour::LoseRequest], Ok(WriteConfirmation::ReadBack))]
#[case::both_lost(
    &[WriteBehaviour::LoseRequest, WriteBehaviour::LoseResponse],
    Ok(WriteConfirmation::ReadBack)
)]
#[case::lost_race(&[WriteBehaviour::OtherFirst], Err(ResultCode::WriteConflict))]
#[case::overwritten(&[WriteBehaviour::Overwrite], Err(ResultCode::WriteUnknown))]
#[case::lost_then_race(
    &[WriteBehaviour::LoseRequest, WriteBehaviour::OtherFirst],
    Err(ResultCode::WriteUnknown)
)]
#[case::always_lost(&[WriteBehaviour::LoseRequest; 9], Err(ResultCode::WriteUnknown))]
#[tokio::test(start_paused = true)]
async fn outcome_of_a_write_is_reported_correctly(
    #[case] script: &[WriteBehaviour],
    #[case] expected: Result<WriteConfirmation, ResultCode>,
) {
    assert_eq!(write(&store(script)).await, expected);
}

#[tokio::test(start_paused = true)]
async fn lost_response_that_cannot_be_read_back_is_unknown() {
    let store = store(&[WriteBehaviour::LoseResponse]);
    store.0.lock().unwrap().reads_fail = true;
    assert_eq!(write(&store).await, Err(ResultCode::WriteUnknown));
}

#[rstest]
#[case::own_subtree("teams/a/services/x", true)]
#[case::claims("claims/ids/1", true)]
#[case::other_team("teams/ab/services/x", false)]
#[case::domains("domains/north", false)]
#[case::keys("keys/flow", false)]
#[tokio::test]
async fn team_writes_only_its_own_subtree(#[case] path: &str, #[case] allowed: bool) {
    let store = store(&[]);
    let editor = SettingsEditor::new(store.clone(), Some("a"), "tester");
    let stamp = editor.stamp();
    let result = editor.write(path, &json!({}), &stamp, 0).await;
    assert_eq!(result.is_ok(), allowed);
    assert_eq!(store.0.lock().unwrap().writes, usize::from(allowed));
    if let Err(error) = result {
        assert_eq!(error.code, ResultCode::ForeignSubtree);
    }
}

#[test]
fn difference_names_each_changed_value_and_no_stamp() {
    let before = json!({ "a": { "b": 1, "c": 2 }, "stamp": { "write_id": "1" } });
    let after = json!({ "a": { "b": 3 }, "d": true, "stamp": { "write_id": "2" } });
    let expected = ["~ a.b: 1 -> 3", "- a.c: 2", "+ d: true"];
    assert_eq!(difference(&before, &after), expected);
}
