//! Images: copies of all keys and values of a store, as one controller has read them.
//!
//! An image is complete up to a revision. Above that revision it can hold single values and
//! removals, namely the controller's own writes that were confirmed before it read them back. The
//! map is persistent (it shares its structure with its copies): a copy takes constant time and
//! doesn't change with the original, so that a snapshot can be written while the event loop goes
//! on.

use imbl::OrdMap;
use mountgap_records::records::{StoreIdRecord, TermRecord};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Identity of a store. A store that was emptied gets another identity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StoreId(pub u64);

impl std::fmt::Display for StoreId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// A value with the revision of its last change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredValue {
    /// Revision of the key's last change.
    pub mod_revision: u64,
    /// The value as JSON text.
    pub data: Arc<str>,
}

/// Two images come from different stores, so their revisions can't be compared.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("images of different stores")]
pub struct DifferentStores;

/// The keys and values of a store, as one controller has read them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StoreImage {
    /// The image contains all changes up to this revision.
    revision: u64,
    values: OrdMap<Arc<str>, StoredValue>,
    /// Keys that were removed after `revision`, with the revisions of their removals.
    removed: OrdMap<Arc<str>, u64>,
}

impl StoreImage {
    /// An image of an empty store.
    pub fn new() -> StoreImage {
        StoreImage::default()
    }

    /// The revision up to which the image is complete.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Whether the image has no keys.
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }

    /// The identity of the store, if it has a readable one.
    pub fn identity(&self) -> Option<StoreId> {
        let value = self.values.get(mountgap_records::records::store_key().as_str())?;
        let record: StoreIdRecord = serde_json::from_str(&value.data).ok()?;
        Some(StoreId(record.id))
    }

    /// The highest term ever taken, as stored; 0 if there is none or it can't be read.
    pub fn term(&self) -> u64 {
        let value = self.values.get(mountgap_records::records::term_key().as_str());
        let record = value.and_then(|value| serde_json::from_str::<TermRecord>(&value.data).ok());
        record.map_or(0, |record| record.term)
    }

    /// The value of a key.
    pub fn get(&self, key: &str) -> Option<&StoredValue> {
        self.values.get(key)
    }

    /// Revision of a key's last change; 0 if it doesn't exist.
    pub fn mod_revision(&self, key: &str) -> u64 {
        self.values.get(key).map_or(0, |value| value.mod_revision)
    }

    /// All keys with their values, in the order of the keys.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &StoredValue)> {
        self.values.iter()
    }

    /// All keys that sort after `key`, with their values, in the order of the keys.
    pub fn iter_after<'a>(
        &'a self,
        key: &str,
    ) -> impl Iterator<Item = (&'a Arc<str>, &'a StoredValue)> {
        use std::ops::Bound::{Excluded, Unbounded};
        self.values.range::<_, str>((Excluded(key), Unbounded))
    }

    /// Keys that were removed after the image's revision, with the revisions of their removals.
    pub fn removals(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        self.removed.iter().map(|(key, mod_revision)| (key, *mod_revision))
    }

    /// Sets a value, unless the image has a value that is at least as new, or a removal of the key at
    /// this revision or a later one.
    pub fn put(&mut self, key: &str, mod_revision: u64, data: &str) {
        let newer = self.mod_revision(key) < mod_revision;
        let removed_since =
            self.removed.get(key).is_some_and(|removed_at| *removed_at >= mod_revision);
        if newer && !removed_since {
            self.values.insert(key.into(), StoredValue { mod_revision, data: data.into() });
        }
    }

    /// Like [`StoreImage::put`], but of two JSON texts with the same revision the lesser is kept,
    /// so that the result doesn't depend on the order of the calls.
    fn put_canonical(&mut self, key: &str, value: &StoredValue) {
        match self.values.get_mut(key) {
            Some(known) if known.mod_revision == value.mod_revision => {
                if value.data < known.data {
                    known.data = value.data.clone();
                }
            }
            _ => self.put(key, value.mod_revision, &value.data),
        }
    }

    /// Removes a key as of a revision, unless its value is newer. A removal after the image's
    /// revision is remembered until the image is complete up to the removal.
    pub fn remove(&mut self, key: &str, mod_revision: u64) {
        if self.values.get(key).is_some_and(|value| value.mod_revision < mod_revision) {
            self.values.remove(key);
        }
        if mod_revision > self.revision {
            let known = self.removed.get(key).copied().unwrap_or(0);
            self.removed.insert(key.into(), known.max(mod_revision));
        }
    }

    /// Declares the image complete up to a revision; a lower one than the present has no effect.
    pub fn advance(&mut self, revision: u64) {
        if revision <= self.revision {
            return;
        }
        self.revision = revision;
        let covered: Vec<Arc<str>> = self
            .removed
            .iter()
            .filter(|(_, removed_at)| **removed_at <= revision)
            .map(|(key, _)| key.clone())
            .collect();
        for key in covered {
            self.removed.remove(&key);
        }
    }

    /// Merges two images of one store: takes the newer value of each key, unless the other image is
    /// complete up to the value's revision and doesn't have the key, which shows that it was
    /// removed. The order of merges doesn't matter (commutative), and repeating one changes nothing
    /// (idempotent).
    pub fn merge(&self, other: &StoreImage) -> Result<StoreImage, DifferentStores> {
        if self.identity() != other.identity() {
            return Err(DifferentStores);
        }
        let mut merged =
            StoreImage { revision: self.revision.max(other.revision), ..StoreImage::default() };
        for (key, removed_at) in self.removals().chain(other.removals()) {
            merged.remove(key, removed_at);
        }
        for (image, counterpart) in [(self, other), (other, self)] {
            for (key, value) in image.iter() {
                let was_removed =
                    value.mod_revision <= counterpart.revision && counterpart.get(key).is_none();
                if !was_removed {
                    merged.put_canonical(key, value);
                }
            }
        }
        Ok(merged)
    }
}
