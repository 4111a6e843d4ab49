//! Snapshots: encoding of an image as a file, compressed and with a checksum.
//!
//! A file consists of a magic number, the format version, the length of the header, the header as
//! JSON, the keys and values as one deflate stream, and a CRC-32 over everything before it. Numbers
//! are little endian. A file that is damaged, belongs to another deployment, has a later format or
//! was taken in the future is rejected with a reason, so that the caller can try the next older one.

use crate::constants::{SNAPSHOT_BYTES_MAX, SNAPSHOT_CLOCK_SKEW_MAX_MS};
use crate::image::StoreImage;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use serde::{Deserialize, Serialize};
use std::io::{Read, Write};

/// Magic number: the first bytes of every snapshot.
const MAGIC: &[u8; 8] = b"mountgap";
/// Format version that is written, and the latest that can be read.
pub const FORMAT_VERSION: u32 = 1;
/// Bytes of magic number, format version and header length.
const PREFIX_BYTES: usize = 16;
/// Bytes of the checksum at the end.
const CHECKSUM_BYTES: usize = 4;

/// Header of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotHeader {
    /// The deployment that the snapshot belongs to.
    pub deployment: String,
    /// Label of the controller that wrote it.
    pub controller: String,
    /// Revision of the image.
    pub revision: u64,
    /// Time of day at which the image was taken, in milliseconds.
    pub taken_at: u64,
    /// Number of keys.
    pub keys: u64,
}

/// Why a snapshot is rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The file ends too early.
    #[error("truncated")]
    Truncated,
    /// The file doesn't begin with the magic number.
    #[error("not a snapshot")]
    NotASnapshot,
    /// The format is a later one than this version can read.
    #[error("of format {0}, and this version reads up to {FORMAT_VERSION}")]
    NewerFormat(u32),
    /// The checksum doesn't match.
    #[error("damaged: the checksum does not match")]
    Checksum,
    /// The snapshot belongs to another deployment.
    #[error("of another deployment: {0}")]
    OtherDeployment(String),
    /// The snapshot's time lies further ahead of the clock than the allowed skew.
    #[error("taken in the future, at {0} ms")]
    FutureDated(u64),
    /// The header or the values can't be read, or contradict each other.
    #[error("malformed: {0}")]
    Malformed(&'static str),
}

/// Encodes an image. Fails only if compression does.
pub fn encode(header: &SnapshotHeader, image: &StoreImage) -> std::io::Result<Vec<u8>> {
    let header_bytes = serde_json::to_vec(header)?;
    let mut bytes = Vec::new();
    bytes.extend_from_slice(MAGIC);
    bytes.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
    bytes.extend_from_slice(&(header_bytes.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&header_bytes);
    let mut stream = DeflateEncoder::new(bytes, Compression::fast());
    for (key, value) in image.iter() {
        write_text(&mut stream, key)?;
        stream.write_all(&value.mod_revision.to_le_bytes())?;
        write_text(&mut stream, &value.data)?;
    }
    let mut bytes = stream.finish()?;
    let checksum = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    Ok(bytes)
}

fn write_text(stream: &mut impl Write, text: &str) -> std::io::Result<()> {
    stream.write_all(&(text.len() as u32).to_le_bytes())?;
    stream.write_all(text.as_bytes())
}

/// Decodes a snapshot and checks that it belongs to the deployment. `now` is the time of day in
/// milliseconds.
pub fn decode(
    bytes: &[u8],
    deployment: &str,
    now: u64,
) -> Result<(SnapshotHeader, StoreImage), SnapshotError> {
    let (header, stream) = verify_and_split(bytes)?;
    if header.deployment != deployment {
        return Err(SnapshotError::OtherDeployment(header.deployment));
    }
    if header.taken_at > now.saturating_add(SNAPSHOT_CLOCK_SKEW_MAX_MS) {
        return Err(SnapshotError::FutureDated(header.taken_at));
    }
    let mut values = ValueReader { stream: DeflateDecoder::new(stream).take(SNAPSHOT_BYTES_MAX) };
    let mut image = StoreImage::new();
    for _ in 0..header.keys {
        let key = values.read_text()?;
        let mod_revision = values.read_u64()?;
        let data = values.read_text()?;
        if mod_revision > header.revision {
            return Err(SnapshotError::Malformed("a value is newer than the snapshot"));
        }
        image.put(&key, mod_revision, &data);
    }
    if values.has_more()? {
        return Err(SnapshotError::Malformed("more values than it names"));
    }
    image.advance(header.revision);
    Ok((header, image))
}

/// Verifies format and checksum, and returns the header and the compressed values.
fn verify_and_split(bytes: &[u8]) -> Result<(SnapshotHeader, &[u8]), SnapshotError> {
    if !bytes.starts_with(MAGIC) {
        let is_truncated = MAGIC.starts_with(bytes);
        return Err(match is_truncated {
            true => SnapshotError::Truncated,
            false => SnapshotError::NotASnapshot,
        });
    }
    let u32_at = |at: usize| {
        let four = bytes.get(at..at + 4).ok_or(SnapshotError::Truncated)?;
        Ok(u32::from_le_bytes(four.try_into().map_err(|_| SnapshotError::Truncated)?))
    };
    let format = u32_at(MAGIC.len())?;
    if format > FORMAT_VERSION {
        return Err(SnapshotError::NewerFormat(format));
    }
    let header_end = PREFIX_BYTES.saturating_add(u32_at(MAGIC.len() + 4)? as usize);
    let end = bytes.len().saturating_sub(CHECKSUM_BYTES);
    if header_end > end {
        return Err(SnapshotError::Truncated);
    }
    if crc32fast::hash(&bytes[..end]) != u32_at(end)? {
        return Err(SnapshotError::Checksum);
    }
    let header = serde_json::from_slice(&bytes[PREFIX_BYTES..header_end])
        .map_err(|_| SnapshotError::Malformed("the header can't be read"))?;
    Ok((header, &bytes[header_end..end]))
}

/// Reads keys and values from the decompressed stream.
struct ValueReader<R> {
    stream: R,
}

impl<R: Read> ValueReader<R> {
    fn read_array<const N: usize>(&mut self) -> Result<[u8; N], SnapshotError> {
        let mut bytes = [0; N];
        self.stream
            .read_exact(&mut bytes)
            .map_err(|_| SnapshotError::Malformed("the values end too early"))?;
        Ok(bytes)
    }

    fn read_u64(&mut self) -> Result<u64, SnapshotError> {
        Ok(u64::from_le_bytes(self.read_array()?))
    }

    fn read_text(&mut self) -> Result<String, SnapshotError> {
        let length = u64::from(u32::from_le_bytes(self.read_array()?));
        let mut text = String::new();
        let read = self
            .stream
            .by_ref()
            .take(length)
            .read_to_string(&mut text)
            .map_err(|_| SnapshotError::Malformed("a value is no text"))?;
        match read as u64 == length {
            true => Ok(text),
            false => Err(SnapshotError::Malformed("the values end too early")),
        }
    }

    /// Whether the stream has any bytes left.
    fn has_more(&mut self) -> Result<bool, SnapshotError> {
        let mut one = [0; 1];
        let read = self.stream.read(&mut one);
        read.map(|count| count > 0).map_err(|_| SnapshotError::Malformed("the stream is damaged"))
    }
}
