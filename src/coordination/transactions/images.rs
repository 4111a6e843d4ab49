//! Records of the images on each machine, which a new leader uses as hints until the machines report.

use crate::constants::GROUP_OVERHEAD_BYTES;
use crate::storage::cluster::ClusterState;
use crate::storage::machine::{Machine, MachineState};
use crate::storage::records::ImagesRecord;

/// Bytes that an image takes in a record in addition to its name: its size, quotes and brackets.
const IMAGE_OVERHEAD_BYTES: usize = 24;
/// Bytes that a machine takes in a record in addition to its name: quotes, colon and brackets.
const MACHINE_OVERHEAD_BYTES: usize = 8;
/// Bytes of an image's index in a machine's list, including its comma.
const INDEX_BYTES: usize = 5;

impl ClusterState {
    /// The images on all machines, divided into records that each fit into one stored value.
    pub(super) fn image_records(&self, value_bytes_max: usize) -> Vec<ImagesRecord> {
        let mut parts: Vec<ImagesRecord> = Vec::new();
        let mut bytes = value_bytes_max;
        let holds_images =
            |m: &&Machine| !m.images.is_empty() && m.state != MachineState::Terminated;
        for machine in self.machines.values().filter(holds_images) {
            let image_bytes: usize =
                machine.images.iter().map(|(image, _)| image.len() + IMAGE_OVERHEAD_BYTES).sum();
            let machine_bytes =
                machine.name.len() + MACHINE_OVERHEAD_BYTES + machine.images.len() * INDEX_BYTES;
            if bytes + image_bytes + machine_bytes + GROUP_OVERHEAD_BYTES > value_bytes_max {
                parts.push(ImagesRecord::default());
                bytes = 0;
            }
            let Some(part) = parts.last_mut() else { continue };
            bytes += machine_bytes + add_machine(part, machine);
        }
        parts
    }
}

/// Adds a machine to a record, which names each image once and refers to it by index. Returns the
/// bytes that newly named images take.
fn add_machine(part: &mut ImagesRecord, machine: &Machine) -> usize {
    let mut bytes = 0;
    let mut indices = Vec::new();
    for (image, size_gb) in &machine.images {
        let known = part.images.iter().position(|(name, _)| name == image);
        indices.push(known.unwrap_or(part.images.len()));
        if known.is_none() {
            part.images.push((image.clone(), *size_gb));
            bytes += image.len() + IMAGE_OVERHEAD_BYTES;
        }
    }
    part.held.insert(machine.name.to_string(), indices);
    bytes
}
