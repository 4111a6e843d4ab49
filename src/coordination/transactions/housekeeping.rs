//! Low-priority changes, written only when the write budget is not short: hints for the next leader,
//! and the removal of keys that are no longer needed.

use super::builder::TransactionBuilder;
use super::pending::PendingTransaction;
use crate::constants::{IMAGES_WRITE_PERIOD_MS, STALE_KEY_SCAN_PERIOD_MS};
use crate::coordination::{Controller, Leader};
use crate::protocol::cloud::Catalog;
use crate::protocol::state::raw_json;
use crate::settings::Platform;
use crate::storage::cluster::StaleKey;
use crate::storage::records::{catalog_key, images_key, shares_key, JobId, SharesRecord};
use crate::storage::replica::Replica;

impl Controller {
    /// Adds the machine type catalog, the teams' shares, the images on machines and removals of
    /// stale keys, as far as they fit.
    pub(super) fn pack_housekeeping(
        &mut self,
        builder: &mut TransactionBuilder,
        pending: &mut PendingTransaction,
    ) {
        let now = self.now.monotonic_ms;
        let replica = self.store.replica();
        let Some(leader) = self.leader.as_mut() else { return };
        if let Some(catalog) = self.cloud.catalog() {
            leader.pack_catalog(builder, replica, catalog);
        }
        leader.pack_shares(builder, replica, &self.settings);
        leader.pack_images(builder, replica, now);
        leader.find_stale_keys(replica, now);
        leader.pack_removals(builder, pending);
    }
}

impl Leader {
    fn pack_catalog(
        &mut self,
        builder: &mut TransactionBuilder,
        replica: &Replica,
        catalog: &Catalog,
    ) {
        if self.transactions.catalog_written {
            return;
        }
        let stored = replica.catalog.as_ref();
        let is_stored = stored.is_some_and(|stored| names_same_types(&stored.value, catalog));
        let mod_revision = stored.map_or(0, |stored| stored.mod_revision);
        self.transactions.catalog_written =
            is_stored || builder.put(catalog_key(), raw_json(catalog), mod_revision);
    }

    fn pack_shares(
        &mut self,
        builder: &mut TransactionBuilder,
        replica: &Replica,
        settings: &Platform,
    ) {
        if self.transactions.shares_written {
            return;
        }
        let names = settings.params.teams.iter().map(|team| team.name.clone());
        let teams = names.zip(self.shares.clone()).collect();
        let record = SharesRecord { term: self.term, teams };
        let mod_revision = replica.shares.as_ref().map_or(0, |stored| stored.mod_revision);
        self.transactions.shares_written =
            builder.put(shares_key(), raw_json(&record), mod_revision);
    }

    fn pack_images(&mut self, builder: &mut TransactionBuilder, replica: &Replica, now: u64) {
        if now < self.transactions.next_images_at {
            return;
        }
        let records = self.cluster.image_records(builder.value_bytes_max);
        let mut all_written = true;
        for (part, record) in (0..).zip(records) {
            let stored = replica.images.get(&part);
            if stored.is_none_or(|stored| stored.value != record) {
                let mod_revision = stored.map_or(0, |stored| stored.mod_revision);
                all_written &= builder.put(images_key(part), raw_json(&record), mod_revision);
            }
        }
        if all_written {
            self.transactions.next_images_at = now + IMAGES_WRITE_PERIOD_MS;
        }
    }

    /// Finds submission batches that are stale: each of their jobs has ended and has no tasks left
    /// on machines.
    fn find_stale_keys(&mut self, replica: &Replica, now: u64) {
        if now < self.transactions.next_stale_key_scan_at || !self.cluster.stale_keys.is_empty() {
            return;
        }
        self.transactions.next_stale_key_scan_at = now + STALE_KEY_SCAN_PERIOD_MS;
        let jobs = &self.cluster.jobs;
        let is_over = |job_id: &JobId| replica.has_ended(job_id) && !jobs.contains_key(job_id);
        for (key, batch) in &replica.batches {
            if batch.value.iter().all(is_over) {
                let mod_revision = batch.mod_revision;
                self.cluster.stale_keys.push(StaleKey { key: key.clone(), mod_revision });
            }
        }
    }

    fn pack_removals(
        &mut self,
        builder: &mut TransactionBuilder,
        pending: &mut PendingTransaction,
    ) {
        while builder.has_capacity(1, 1) {
            let Some(stale) = self.cluster.stale_keys.pop() else { break };
            builder.remove(stale.key.clone(), stale.mod_revision);
            pending.stale_keys.push(stale);
        }
    }
}

/// Whether two catalogs name the same machine types in the same order.
fn names_same_types(stored: &Catalog, current: &Catalog) -> bool {
    let stored_names = stored.machine_types.iter().map(|machine_type| &machine_type.type_name);
    let names = current.machine_types.iter().map(|machine_type| &machine_type.type_name);
    stored_names.eq(names)
}
