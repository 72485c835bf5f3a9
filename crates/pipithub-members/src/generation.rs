//! The record of generations as it stands on disk. Reading and writing files is the shell's; what a text means and
//! which number comes next is decided here.

use sha2::{Digest, Sha256};

/// What a front end's data folder says of its name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GenerationRecord {
    /// The cluster that the folder belongs to.
    pub cluster: String,
    /// The name that runs with it.
    pub name: String,
    /// The last generation that was taken.
    pub generation: u64,
}

/// Why a record cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// Its text is not whole. It must not count as empty: a lost generation would be given out twice.
    #[error(
        "the generation record is damaged ({0}); put back a good copy, or remove it to start as an empty disk"
    )]
    Malformed(&'static str),
    /// It is another front end's.
    #[error("the folder belongs to front end '{name}' of cluster '{cluster}'")]
    OtherOwner {
        /// Whose.
        name: String,
        /// Of which cluster.
        cluster: String,
    },
    /// No number is left.
    #[error("generation {0} is the last that can be counted")]
    Exhausted(u64),
}

fn digest(body: &str) -> String {
    Sha256::digest(body.as_bytes())
        .iter()
        .take(8)
        .map(|b| format!("{b:02x}"))
        .collect()
}

impl GenerationRecord {
    /// The record as text.
    pub fn encode(&self) -> String {
        let body = format!(
            "pipithub generation 1\n{}\n{}\n{}\n",
            self.cluster, self.name, self.generation
        );
        format!("{body}{}\n", digest(&body))
    }

    /// Reads a text that [`GenerationRecord::encode`] made.
    pub fn decode(text: &str) -> Result<GenerationRecord, RecordError> {
        let text = text
            .strip_suffix('\n')
            .ok_or(RecordError::Malformed("it breaks off"))?;
        let at = text
            .rfind('\n')
            .ok_or(RecordError::Malformed("it breaks off"))?
            + 1;
        let (body, sum) = text.split_at(at);
        if digest(body) != sum {
            return Err(RecordError::Malformed("its check sum is another"));
        }
        let mut lines = body.lines();
        if lines.next() != Some("pipithub generation 1") {
            return Err(RecordError::Malformed("it is of another version"));
        }
        let (cluster, name, number) = (lines.next(), lines.next(), lines.next());
        let (Some(cluster), Some(name), Some(number)) = (cluster, name, number) else {
            return Err(RecordError::Malformed("lines are missing"));
        };
        let generation = number
            .parse()
            .map_err(|_| RecordError::Malformed("its generation is no number"))?;
        Ok(GenerationRecord {
            cluster: cluster.into(),
            name: name.into(),
            generation,
        })
    }

    /// What a start with this folder takes: the record to write before anything is sent, and whether the folder was
    /// empty.
    pub fn next(
        found: Option<&str>,
        cluster: &str,
        name: &str,
    ) -> Result<(GenerationRecord, bool), RecordError> {
        let last = match found {
            None => None,
            Some(text) => {
                let record = GenerationRecord::decode(text)?;
                if record.cluster != cluster || record.name != name {
                    return Err(RecordError::OtherOwner {
                        name: record.name,
                        cluster: record.cluster,
                    });
                }
                Some(record.generation)
            }
        };
        let number = last.unwrap_or(0);
        let generation = number
            .checked_add(1)
            .ok_or(RecordError::Exhausted(number))?;
        Ok((
            GenerationRecord {
                cluster: cluster.into(),
                name: name.into(),
                generation,
            },
            last.is_none(),
        ))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn each_start_takes_the_next_number_and_an_empty_folder_says_so() {
        let (first, empty) = GenerationRecord::next(None, "campus", "front-1").unwrap();
        assert!(empty && first.generation == 1);
        let (second, empty) =
            GenerationRecord::next(Some(&first.encode()), "campus", "front-1").unwrap();
        assert!(!empty && second.generation == 2);
    }

    #[test]
    fn another_front_ends_folder_is_refused() {
        let (first, _) = GenerationRecord::next(None, "campus", "front-1").unwrap();
        let text = first.encode();
        assert!(matches!(
            GenerationRecord::next(Some(&text), "campus", "front-2"),
            Err(RecordError::OtherOwner { .. })
        ));
        assert!(matches!(
            GenerationRecord::next(Some(&text), "other", "front-1"),
            Err(RecordError::OtherOwner { .. })
        ));
        let last = GenerationRecord {
            generation: u64::MAX,
            ..first
        }
        .encode();
        assert_eq!(
            GenerationRecord::next(Some(&last), "campus", "front-1"),
            Err(RecordError::Exhausted(u64::MAX))
        );
    }

    proptest! {
        #[test]
        fn a_torn_or_turned_record_is_never_read(cut in 0usize..200, at in 0usize..200, bit in 0u8..7) {
            let text = GenerationRecord { cluster: "campus".into(), name: "front-1".into(), generation: 41 }.encode();
            if cut < text.len() {
                prop_assert!(GenerationRecord::decode(&text[..cut]).is_err());
            }
            let mut bytes = text.clone().into_bytes();
            let at = at % bytes.len();
            bytes[at] ^= 1 << bit;
            if let Ok(turned) = String::from_utf8(bytes) {
                prop_assert!(GenerationRecord::decode(&turned).is_err());
            }
        }
    }
}
