//! Constants of the storage format.

/// Prefix of all keys in the state service, in every version of the key layout.
pub const KEY_NAMESPACE: &str = "mg/";
/// Prefix of all keys in this version of the key layout. Every version has a prefix of its own; a
/// controller that finds keys of a version that it can't read logs that and serves no requests.
pub const KEY_ROOT: &str = "mg/2/";

/// Tasks in one stored chunk of a bitmap of done tasks. The text form of a chunk takes 1,024 bytes, which
/// is well below the smallest value size limit that a state service has had.
pub const DONE_CHUNK_TASKS: u32 = 4_096;
/// The key of the last rebuild. It doesn't start with [`KEY_ROOT`], so that a program version without
/// support for rebuilds takes it for a key of another layout and serves no requests.
pub const REBUILD_KEY: &str = "mg/rebuild";
