//! The records of idempotency keys, grouped and evicted by epoch.

use super::{IdempotencyKey, RequestSettings};
use crate::codes::ResultCode;
use std::{collections::BTreeMap, sync::Arc};

/// The number of epochs in the retention time.
const EPOCHS_PER_RETENTION: u32 = 8;
/// An epoch ends early once it holds more than the record limit divided by this.
const EPOCHS_PER_RECORD_LIMIT: u32 = 8;
/// The maximum number of epochs kept.
const MAX_EPOCHS: usize = 64;

/// The state of the run of one key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum KeyRecord {
    /// It was accepted; no byte has been sent.
    Accepted,
    /// It was sent and has not been answered yet.
    Sent,
    /// It ran with this answer.
    Answered(Arc<[u8]>),
    /// It ran, but its answer was too large to keep.
    AnswerNotKept,
    /// It was sent, and its outcome is unknown.
    Unknown(ResultCode),
}

/// The result of looking up a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum KeyLookup {
    /// The key has never been accepted, or did not run.
    Fresh,
    /// The key has a record.
    Known(KeyRecord),
    /// The records of the key's epoch have been evicted, so the key may have run.
    Evicted,
}

/// The records of keys whose tickets were issued in one epoch.
#[derive(Debug, Default)]
struct Epoch {
    records: BTreeMap<IdempotencyKey, KeyRecord>,
    ended_ms: Option<u64>,
}

/// The records of all keys, bounded by number, bytes and age.
///
/// A ticket contains the epoch in which it was issued. Whole epochs are evicted, the oldest first.
/// Keys with a ticket of an evicted epoch do not run, because a key whose record was evicted cannot
/// be distinguished from a new one.
#[derive(Debug)]
pub(super) struct KeyRecords {
    epochs: BTreeMap<u32, Epoch>,
    // The map contains all epochs from `oldest` to `current`.
    oldest: u32,
    current: u32,
    began_ms: u64,
    count: u32,
    bytes: u64,
}

impl KeyRecords {
    /// Creates empty records whose first epoch begins at `now_ms`.
    pub(super) fn new(now_ms: u64) -> Self {
        Self {
            epochs: BTreeMap::from([(0, Epoch::default())]),
            oldest: 0,
            current: 0,
            began_ms: now_ms,
            count: 0,
            bytes: 0,
        }
    }

    /// Returns the epoch of newly issued tickets.
    pub(super) fn current_epoch(&self) -> u32 {
        self.current
    }

    /// Returns the oldest epoch whose records are complete.
    pub(super) fn oldest_epoch(&self) -> u32 {
        self.oldest
    }

    /// Returns the number of records.
    pub(super) fn count(&self) -> u32 {
        self.count
    }

    /// Returns the size of the recorded answers in bytes.
    pub(super) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Looks up a key.
    pub(super) fn look_up(&self, key: &IdempotencyKey) -> KeyLookup {
        let Some(epoch_number) = self.epoch_of(key) else {
            return KeyLookup::Fresh;
        };
        let Some(epoch) = self.epochs.get(&epoch_number) else {
            return KeyLookup::Evicted;
        };
        match epoch.records.get(key) {
            Some(record) => KeyLookup::Known(record.clone()),
            None => KeyLookup::Fresh,
        }
    }

    /// Adds a record for a key that the caller has looked up as fresh.
    pub(super) fn accept(&mut self, key: &IdempotencyKey, settings: &RequestSettings) {
        let epoch_number = key.ticket().map_or(self.current, |ticket| ticket.epoch);
        if let Some(epoch) = self.epochs.get_mut(&epoch_number) {
            epoch.records.insert(key.clone(), KeyRecord::Accepted);
            self.count += 1;
        }
        self.evict_to_limits(settings);
    }

    /// Replaces the record of a key; does nothing when it has been evicted.
    pub(super) fn replace(
        &mut self,
        key: &IdempotencyKey,
        record: KeyRecord,
        settings: &RequestSettings,
    ) {
        let added_bytes = record.bytes();
        let Some(slot) = self.record_mut(key) else {
            return;
        };
        let removed_bytes = slot.bytes();
        *slot = record;
        self.bytes = self.bytes + added_bytes - removed_bytes;
        self.evict_to_limits(settings);
    }

    /// Returns whether a key has been accepted and its outcome has not been recorded.
    pub(super) fn is_unfinished(&self, key: &IdempotencyKey) -> bool {
        matches!(
            self.look_up(key),
            KeyLookup::Known(KeyRecord::Accepted | KeyRecord::Sent)
        )
    }

    /// Removes the record of a key that did not run; does nothing when its outcome is recorded.
    pub(super) fn release(&mut self, key: &IdempotencyKey) {
        if !self.is_unfinished(key) {
            return;
        }
        let Some(epoch_number) = self.epoch_of(key) else {
            return;
        };
        let removed = self
            .epochs
            .get_mut(&epoch_number)
            .and_then(|epoch| epoch.records.remove(key));
        if let Some(record) = removed {
            self.count -= 1;
            self.bytes -= record.bytes();
        }
    }

    /// Begins and evicts epochs as due at `now_ms`.
    pub(super) fn advance(&mut self, settings: &RequestSettings, now_ms: u64) {
        let retention_ms = u64::from(settings.record_retention_ms);
        let span_ms = (retention_ms / u64::from(EPOCHS_PER_RETENTION)).max(1);
        let held = self.epochs[&self.current].records.len() as u32;
        let is_crowded = held > settings.record_limit / EPOCHS_PER_RECORD_LIMIT;
        if now_ms.saturating_sub(self.began_ms) >= span_ms || is_crowded {
            self.begin_epoch(now_ms, now_ms.min(self.began_ms + span_ms));
        }
        let kept_since_ms = now_ms.saturating_sub(retention_ms);
        while self.epochs.len() > MAX_EPOCHS || self.oldest_ended_before(kept_since_ms) {
            self.evict_oldest();
        }
    }

    fn oldest_ended_before(&self, time_ms: u64) -> bool {
        let epoch = self.epochs.get(&self.oldest);
        epoch
            .and_then(|epoch| epoch.ended_ms)
            .is_some_and(|ended_ms| ended_ms < time_ms)
    }

    fn evict_to_limits(&mut self, settings: &RequestSettings) {
        while self.count > settings.record_limit || self.bytes > settings.record_limit_bytes {
            self.evict_oldest();
        }
    }

    /// Ends the current epoch and begins a new one.
    ///
    /// `ended_ms` is when the current epoch would have ended if a request had arrived then.
    fn begin_epoch(&mut self, now_ms: u64, ended_ms: u64) {
        if let Some(epoch) = self.epochs.get_mut(&self.current) {
            epoch.ended_ms = Some(ended_ms);
        }
        self.current += 1;
        self.began_ms = now_ms;
        self.epochs.insert(self.current, Epoch::default());
    }

    fn evict_oldest(&mut self) {
        if self.oldest == self.current {
            self.begin_epoch(self.began_ms, self.began_ms);
        }
        if let Some(epoch) = self.epochs.remove(&self.oldest) {
            self.count -= epoch.records.len() as u32;
            self.bytes -= epoch.records.values().map(KeyRecord::bytes).sum::<u64>();
        }
        self.oldest += 1;
    }

    /// Returns the epoch that contains a key, or that its ticket assigns it to.
    fn epoch_of(&self, key: &IdempotencyKey) -> Option<u32> {
        match key.ticket() {
            Some(ticket) => Some(ticket.epoch),
            None => self
                .epochs
                .iter()
                .find(|(_, epoch)| epoch.records.contains_key(key))
                .map(|(number, _)| *number),
        }
    }

    fn record_mut(&mut self, key: &IdempotencyKey) -> Option<&mut KeyRecord> {
        let epoch_number = self.epoch_of(key)?;
        self.epochs.get_mut(&epoch_number)?.records.get_mut(key)
    }
}

impl KeyRecord {
    fn bytes(&self) -> u64 {
        match self {
            Self::Answered(answer) => answer.len() as u64,
            _ => 0,
        }
    }
}
