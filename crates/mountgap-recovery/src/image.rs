//! Images: all keys and values of the store as one controller has read them.
//!
//! An image is complete up to a revision. Above it single values and removals can be known, those
//! that a controller wrote itself and that were confirmed before it read them. The map is a
//! persistent one: a copy is made in constant time and stays as it is while the original goes on,
//! so that a snapshot is written beside the event loop.

use imbl::OrdMap;
use mountgap_records::records::{StoreIdRecord, TermRecord};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Names a store. A store that was emptied gets another identity.
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

/// Two images are of different stores, so that their revisions can't be compared.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("images of different stores")]
pub struct DifferentStores;

/// All that a controller has read of a store.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StoreImage {
    /// All changes up to this revision are in.
    revision: u64,
    values: OrdMap<Arc<str>, StoredValue>,
    /// Keys removed above `revision`, with the revisions of their removals.
    removed: OrdMap<Arc<str>, u64>,
}

impl StoreImage {
    /// An image of an empty store.
    pub fn new() -> StoreImage {
        StoreImage::default()
    }

    /// The revision up to which all changes are in.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Whether no key is known.
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }

    /// The identity of the store, if it has one.
    pub fn identity(&self) -> Option<StoreId> {
        let value = self.values.get(mountgap_records::records::store_key().as_str())?;
        let record: StoreIdRecord = serde_json::from_str(&value.data).ok()?;
        Some(StoreId(record.id))
    }

    /// The term in the store; 0 if there is none.
    pub fn term(&self) -> u64 {
        let value = self.values.get(mountgap_records::records::term_key().as_str());
        let record = value.and_then(|value| serde_json::from_str::<TermRecord>(&value.data).ok());
        record.map_or(0, |record| record.term)
    }

    /// A value by its key.
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

    /// Keys with their values after a key, in their order.
    pub fn iter_after<'a>(
        &'a self,
        key: &str,
    ) -> impl Iterator<Item = (&'a Arc<str>, &'a StoredValue)> {
        use std::ops::Bound::{Excluded, Unbounded};
        self.values.range::<_, str>((Excluded(key), Unbounded))
    }

    /// Removals above the revision of the image.
    pub fn removals(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        self.removed.iter().map(|(key, mod_revision)| (key, *mod_revision))
    }

    /// Puts in a value; an older one than is known, or one removed since, is left out.
    pub fn put(&mut self, key: &str, mod_revision: u64, data: &str) {
        let newer = self.mod_revision(key) < mod_revision;
        let removed_since =
            self.removed.get(key).is_some_and(|removed_at| *removed_at >= mod_revision);
        if newer && !removed_since {
            self.values.insert(key.into(), StoredValue { mod_revision, data: data.into() });
        }
    }

    /// Puts in a value that may be known with the same revision as another JSON text, of which the
    /// lesser counts.
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

    /// Takes out a key that was removed at a revision.
    pub fn remove(&mut self, key: &str, mod_revision: u64) {
        if self.values.get(key).is_some_and(|value| value.mod_revision < mod_revision) {
            self.values.remove(key);
        }
        if mod_revision > self.revision {
            let known = self.removed.get(key).copied().unwrap_or(0);
            self.removed.insert(key.into(), known.max(mod_revision));
        }
    }

    /// All changes up to a revision are in.
    pub fn advance(&mut self, revision: u64) {
        if revision <= self.revision {
            return;
        }
        self.revision = revision;
        let passed: Vec<Arc<str>> = self
            .removed
            .iter()
            .filter(|(_, removed_at)| **removed_at <= revision)
            .map(|(key, _)| key.clone())
            .collect();
        for key in passed {
            self.removed.remove(&key);
        }
    }

    /// Joins two images of one store: of each key the newer value, unless the other image has
    /// seen its removal. The order of joins does not matter, and joining again changes nothing.
    pub fn join(&self, other: &StoreImage) -> Result<StoreImage, DifferentStores> {
        if self.identity() != other.identity() {
            return Err(DifferentStores);
        }
        let mut joined =
            StoreImage { revision: self.revision.max(other.revision), ..StoreImage::default() };
        for (key, removed_at) in self.removals().chain(other.removals()) {
            joined.remove(key, removed_at);
        }
        for (image, counterpart) in [(self, other), (other, self)] {
            for (key, value) in image.iter() {
                let seen_removed =
                    value.mod_revision <= counterpart.revision && counterpart.get(key).is_none();
                if !seen_removed {
                    joined.put_canonical(key, value);
                }
            }
        }
        Ok(joined)
    }
}
