//! The generation record: its text on disk, and which generation a start takes. Files are read and written by the caller.

use sha2::{Digest, Sha256};

use crate::identity::DiskState;

/// First line of the text, with the version of its format.
const HEADER: &str = "pipithub generation 1";
/// Bytes of the digest that the checksum shows.
const CHECKSUM_BYTES: usize = 8;

/// What a front end's data folder says about its name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GenerationRecord {
    /// The cluster that the folder belongs to.
    pub cluster: String,
    /// The name that uses the folder.
    pub name: String,
    /// The last generation that was taken.
    pub generation: u64,
}

/// What a start takes from its data folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NextGeneration {
    /// The record to save before anything is sent.
    pub record: GenerationRecord,
    /// Whether there was a former record.
    pub disk: DiskState,
}

/// Why a record cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// Its text is damaged. It must not count as empty, because a lost generation would be used twice.
    #[error(
        "the generation record is damaged ({0}); put back a good copy, or remove it to start as an empty disk"
    )]
    Malformed(&'static str),
    /// It belongs to another front end.
    #[error("the folder belongs to front end '{name}' of cluster '{cluster}'")]
    OtherOwner {
        /// Name of the owner.
        name: String,
        /// Cluster of the owner.
        cluster: String,
    },
    /// No generation is left.
    #[error("generation {0} is the last that can be counted")]
    Exhausted(u64),
}

fn checksum(body: &str) -> String {
    Sha256::digest(body.as_bytes())
        .iter()
        .take(CHECKSUM_BYTES)
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

impl GenerationRecord {
    /// The record as text.
    pub fn encode(&self) -> String {
        let body = format!(
            "{HEADER}\n{}\n{}\n{}\n",
            self.cluster, self.name, self.generation
        );
        format!("{body}{}\n", checksum(&body))
    }

    /// Reads a text that [`GenerationRecord::encode`] wrote.
    pub fn decode(text: &str) -> Result<GenerationRecord, RecordError> {
        let truncated = RecordError::Malformed("it breaks off");
        let text = text.strip_suffix('\n').ok_or(truncated.clone())?;
        let body_length = text.rfind('\n').ok_or(truncated)? + 1;
        let (body, sum) = text.split_at(body_length);
        if checksum(body) != sum {
            return Err(RecordError::Malformed("its check sum is another"));
        }
        let mut lines = body.lines();
        if lines.next() != Some(HEADER) {
            return Err(RecordError::Malformed("it is of another version"));
        }
        let (cluster, name, generation) = (lines.next(), lines.next(), lines.next());
        let (Some(cluster), Some(name), Some(generation)) = (cluster, name, generation) else {
            return Err(RecordError::Malformed("lines are missing"));
        };
        let generation = generation
            .parse()
            .map_err(|_| RecordError::Malformed("its generation is no number"))?;
        Ok(GenerationRecord {
            cluster: cluster.into(),
            name: name.into(),
            generation,
        })
    }

    /// What a start takes that found `text` in its data folder.
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
