//! Maps names to indices.

use crate::protocol::cloud::Catalog;
use crate::settings::{Platform, Team};
use crate::storage::hashing::{HashKeys, HashMap};

/// The indices that stand for names in a snapshot.
pub(super) struct Indices<'a> {
    zones: Vec<&'a str>,
    machine_types: Vec<&'a str>,
    teams: &'a [Team],
    /// Filled as images are looked up.
    images: HashMap<&'a str, usize>,
}

impl<'a> Indices<'a> {
    /// Indices of the zones, machine types and teams that the settings and the catalog name.
    pub(super) fn new(settings: &'a Platform, catalog: &'a Catalog, keys: HashKeys) -> Indices<'a> {
        let mut zones: Vec<&str> = Vec::new();
        let catalog_zones =
            catalog.machine_types.iter().flat_map(|machine_type| &machine_type.zones);
        for zone in catalog_zones.chain(&settings.params.zones) {
            if !zones.contains(&zone.as_str()) {
                zones.push(zone);
            }
        }
        let machine_types = catalog.machine_types.iter().map(|listed| listed.type_name.as_str());
        Indices {
            zones,
            machine_types: machine_types.collect(),
            teams: &settings.params.teams,
            images: keys.map(),
        }
    }

    /// Index of a zone, if it is known.
    pub(super) fn zone(&self, name: &str) -> Option<usize> {
        self.zones.iter().position(|zone| *zone == name)
    }

    /// Number of known zones.
    pub(super) fn zone_count(&self) -> usize {
        self.zones.len()
    }

    /// Names of the zones, by index.
    pub(super) fn zone_names(&self) -> Vec<String> {
        self.zones.iter().map(|zone| zone.to_string()).collect()
    }

    /// Index of a machine type, if the catalog has it.
    pub(super) fn machine_type(&self, name: &str) -> Option<usize> {
        self.machine_types.iter().position(|type_name| *type_name == name)
    }

    /// Index of a team, if the settings name it.
    pub(super) fn team(&self, name: &str) -> Option<usize> {
        self.teams.iter().position(|team| team.name == name)
    }

    /// Index of an image, assigned on its first lookup.
    pub(super) fn image(&mut self, name: &'a str) -> usize {
        let next = self.images.len();
        *self.images.entry(name).or_insert(next)
    }
}
