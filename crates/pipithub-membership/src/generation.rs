//! The generation record: its text format, and the rule by which a starting process takes its generation. The caller
//! reads and writes the file.

use sha2::{Digest, Sha256};

use crate::identity::DiskState;

/// First line of the text, which includes the version of the format.
const HEADER: &str = "pipithub generation 1";
/// Number of leading bytes of the SHA-256 digest that form the checksum.
const CHECKSUM_BYTES: usize = 8;

/// The last generation that a front end took, as stored in its data folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GenerationRecord {
    /// The cluster that the folder belongs to.
    pub cluster: String,
    /// The name of the front end that the folder belongs to.
    pub name: String,
    /// The last generation that was taken; the first one is 1.
    pub generation: u64,
}

/// The generation that a starting process takes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NextGeneration {
    /// The record with the new generation, to be saved before anything is sent.
    pub record: GenerationRecord,
    /// [`DiskState::Intact`] if there was a former record, [`DiskState::Empty`] if not.
    pub disk: DiskState,
}

/// Why a record cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// Its text is damaged. It is not treated as missing, because generations would then be used twice.
    #[error(
        "the generation record is damaged ({0}); restore an intact copy, or remove it to start with an empty disk"
    )]
    Malformed(RecordDamage),
    /// It belongs to another front end or cluster.
    #[error("the folder belongs to front end '{name}' of cluster '{cluster}'")]
    OtherOwner {
        /// Name of the front end in the record.
        name: String,
        /// Cluster in the record.
        cluster: String,
    },
    /// The generation in the record is the largest possible one.
    #[error("generation {0} is the largest possible one and has no next generation")]
    Exhausted(u64),
}

/// How the text of a record is damaged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordDamage {
    /// The last line is incomplete, or there is only one.
    #[error("it is truncated")]
    Truncated,
    /// The text was altered after it was written.
    #[error("its checksum does not match")]
    ChecksumMismatch,
    /// The first line is not that of this format version.
    #[error("its version is not supported")]
    UnsupportedVersion,
    /// Cluster, name or generation is missing.
    #[error("lines are missing")]
    MissingLines,
    /// The generation is not a number.
    #[error("its generation is not a number")]
    InvalidGeneration,
}

impl From<RecordDamage> for RecordError {
    fn from(damage: RecordDamage) -> Self {
        RecordError::Malformed(damage)
    }
}

fn checksum(body: &str) -> String {
    Sha256::digest(body.as_bytes())
        .iter()
        .take(CHECKSUM_BYTES)
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

impl GenerationRecord {
    /// Encodes the record as text: header, cluster, name, generation and checksum, one per line.
    pub fn encode(&self) -> String {
        let body = format!(
            "{HEADER}\n{}\n{}\n{}\n",
            self.cluster, self.name, self.generation
        );
        format!("{body}{}\n", checksum(&body))
    }

    /// Decodes a record that [`GenerationRecord::encode`] encoded.
    ///
    /// # Errors
    /// [`RecordError::Malformed`] if the text is not a complete and unaltered record of this format version.
    pub fn decode(text: &str) -> Result<GenerationRecord, RecordError> {
        let text = text.strip_suffix('\n').ok_or(RecordDamage::Truncated)?;
        let body_length = text.rfind('\n').ok_or(RecordDamage::Truncated)? + 1;
        let (body, stored_checksum) = text.split_at(body_length);
        if checksum(body) != stored_checksum {
            return Err(RecordDamage::ChecksumMismatch.into());
        }
        let mut lines = body.lines();
        if lines.next() != Some(HEADER) {
            return Err(RecordDamage::UnsupportedVersion.into());
        }
        let (cluster, name, generation) = (lines.next(), lines.next(), lines.next());
        let (Some(cluster), Some(name), Some(generation)) = (cluster, name, generation) else {
            return Err(RecordDamage::MissingLines.into());
        };
        let generation = generation
            .parse()
            .map_err(|_| RecordDamage::InvalidGeneration)?;
        Ok(GenerationRecord {
            cluster: cluster.into(),
            name: name.into(),
            generation,
        })
    }

    /// The generation that a process takes when it starts as `name` and finds the record `text` in its data folder.
    /// `text` is `None` if the folder holds no record.
    ///
    /// # Errors
    /// The record is malformed, belongs to another front end or cluster, or has no next generation.
    pub fn next(
        text: Option<&str>,
        cluster: &str,
        name: &str,
    ) -> Result<NextGeneration, RecordError> {
        let last = text.map(GenerationRecord::decode).transpose()?;
        if let Some(last) = &last
            && (last.cluster != cluster || last.name != name)
        {
            return Err(RecordError::OtherOwner {
                name: last.name.clone(),
                cluster: last.cluster.clone(),
            });
        }
        let disk = match last {
            Some(_) => DiskState::Intact,
            None => DiskState::Empty,
        };
        let last_generation = last.map_or(0, |record| record.generation);
        let generation = last_generation
            .checked_add(1)
            .ok_or(RecordError::Exhausted(last_generation))?;
        let record = GenerationRecord {
            cluster: cluster.into(),
            name: name.into(),
            generation,
        };
        Ok(NextGeneration { record, disk })
    }
}

#[cfg(test)]
mod tests;
