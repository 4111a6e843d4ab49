//! Snapshots: an image as a file, compressed and with a checksum.
//!
//! The form is a magic number, a format number, a header as JSON, and the keys with their values as
//! one deflate stream; a CRC-32 over all of that ends it. A file that is damaged, of another
//! deployment, of a later format or from the future is refused with a reason, so that the next
//! older one can be taken.

use crate::constants::{SNAPSHOT_AHEAD_MAX_MS, SNAPSHOT_BYTES_MAX};
use crate::image::StoreImage;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use serde::{Deserialize, Serialize};
use std::io::{Read, Write};

/// First bytes of every snapshot.
const MAGIC: &[u8; 8] = b"mountgap";
/// The format that this version writes, and the latest that it reads.
pub const FORMAT: u32 = 1;
/// Bytes of magic number, format number and length of the header.
const PREFIX_BYTES: usize = 16;
/// Bytes of the checksum at the end.
const CHECKSUM_BYTES: usize = 4;

/// What a snapshot says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotHeader {
    /// The deployment that it belongs to.
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

/// Why a snapshot is refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// It ends too early.
    #[error("truncated")]
    Truncated,
    /// It is none.
    #[error("not a snapshot")]
    NotASnapshot,
    /// A later version has written it.
    #[error("of format {0}, and this version reads up to {FORMAT}")]
    NewerFormat(u32),
    /// Its checksum is another.
    #[error("damaged: the checksum does not match")]
    Checksum,
    /// It belongs to another deployment.
    #[error("of another deployment: {0}")]
    OtherDeployment(String),
    /// It was taken later than now.
    #[error("taken in the future, at {0} ms")]
    FutureDated(u64),
    /// What it holds can't be read.
    #[error("malformed: {0}")]
    Malformed(&'static str),
}

/// Encodes an image. Fails only if compression does.
pub fn encode(header: &SnapshotHeader, image: &StoreImage) -> std::io::Result<Vec<u8>> {
    let header_bytes = serde_json::to_vec(header)?;
    let mut bytes = Vec::new();
    bytes.extend_from_slice(MAGIC);
    bytes.extend_from_slice(&FORMAT.to_le_bytes());
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

/// Decodes a snapshot of a deployment, or says why it is refused. `now` is the time of day in
/// milliseconds.
pub fn decode(
    bytes: &[u8],
    deployment: &str,
    now: u64,
) -> Result<(SnapshotHeader, StoreImage), SnapshotError> {
    let (header, stream) = checked_parts(bytes)?;
    if header.deployment != deployment {
        return Err(SnapshotError::OtherDeployment(header.deployment));
    }
    if header.taken_at > now.saturating_add(SNAPSHOT_AHEAD_MAX_MS) {
        return Err(SnapshotError::FutureDated(header.taken_at));
    }
    let mut values = Values { stream: DeflateDecoder::new(stream).take(SNAPSHOT_BYTES_MAX) };
    let mut image = StoreImage::new();
    for _ in 0..header.keys {
        let key = values.text()?;
        let mod_revision = values.number()?;
        let data = values.text()?;
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

/// The header and the compressed values, once checksum and format are found to be right.
fn checked_parts(bytes: &[u8]) -> Result<(SnapshotHeader, &[u8]), SnapshotError> {
    if !bytes.starts_with(MAGIC) {
        let is_cut_short = MAGIC.starts_with(bytes);
        return Err(match is_cut_short {
            true => SnapshotError::Truncated,
            false => SnapshotError::NotASnapshot,
        });
    }
    let word = |at: usize| {
        let four = bytes.get(at..at + 4).ok_or(SnapshotError::Truncated)?;
        Ok(u32::from_le_bytes(four.try_into().map_err(|_| SnapshotError::Truncated)?))
    };
    let format = word(MAGIC.len())?;
    if format > FORMAT {
        return Err(SnapshotError::NewerFormat(format));
    }
    let header_end = PREFIX_BYTES.saturating_add(word(MAGIC.len() + 4)? as usize);
    let end = bytes.len().saturating_sub(CHECKSUM_BYTES);
    if header_end > end {
        return Err(SnapshotError::Truncated);
    }
    if crc32fast::hash(&bytes[..end]) != word(end)? {
        return Err(SnapshotError::Checksum);
    }
    let header = serde_json::from_slice(&bytes[PREFIX_BYTES..header_end])
        .map_err(|_| SnapshotError::Malformed("the header can't be read"))?;
    Ok((header, &bytes[header_end..end]))
}

/// Reads values from the decompressed stream.
struct Values<R> {
    stream: R,
}

impl<R: Read> Values<R> {
    fn bytes<const N: usize>(&mut self) -> Result<[u8; N], SnapshotError> {
        let mut bytes = [0; N];
        self.stream
            .read_exact(&mut bytes)
            .map_err(|_| SnapshotError::Malformed("the values end too early"))?;
        Ok(bytes)
    }

    fn number(&mut self) -> Result<u64, SnapshotError> {
        Ok(u64::from_le_bytes(self.bytes()?))
    }

    fn text(&mut self) -> Result<String, SnapshotError> {
        let length = u64::from(u32::from_le_bytes(self.bytes()?));
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

    /// Whether there is more in the stream.
    fn has_more(&mut self) -> Result<bool, SnapshotError> {
        let mut one = [0; 1];
        let read = self.stream.read(&mut one);
        read.map(|count| count > 0).map_err(|_| SnapshotError::Malformed("the stream is damaged"))
    }
}
