//! Rentals that the cloud has not answered yet.

/// A kind of machine, by its type's index in the catalog.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct CatalogKind {
    pub(super) type_index: usize,
    pub(super) zone: String,
    pub(super) spot: bool,
}

/// A rental under way.
#[derive(Debug, Clone)]
pub(super) struct Rental {
    /// Its name, which is never used for another one.
    pub(super) request_id: String,
    pub(super) kind: CatalogKind,
    /// Machines asked for.
    pub(super) count: usize,
}
