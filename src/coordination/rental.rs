//! Rental requests that the cloud has not answered yet.

/// What can be rented: a machine type, by its index in the catalog, in a zone, spot or not.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct CatalogKind {
    pub(super) type_index: usize,
    pub(super) zone: String,
    pub(super) spot: bool,
}

/// A rental request under way.
#[derive(Debug, Clone)]
pub(super) struct Rental {
    /// Idempotency key, unique to this request.
    pub(super) request_id: String,
    pub(super) kind: CatalogKind,
    /// Number of machines requested.
    pub(super) count: usize,
}
