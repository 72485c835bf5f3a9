//! The record of generations as it stands on disk. Reading and writing files is the shell's; what a text means and
//! which number comes next is decided here.

use sha2::{Digest, Sha256};

/// What a front end's data folder says of its name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The cluster that the folder belongs to.
    pub cluster: String,
    /// The name that runs with it.
    pub name: String,
    /// The last generation that was taken.
    pub generation: u64,
}

/// Why a record cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Damaged {
    /// Its text is not whole. It must not count as empty: a lost generation would be given out twice.
    #[error(
        "the generation record is damaged ({0}); put back a good copy, or remove it to start as an empty disk"
    )]
    Text(&'static str),
    /// It is another front end's.
    #[error("the folder belongs to front end '{name}' of cluster '{cluster}'")]
    Foreign {
        /// Whose.
        name: String,
        /// Of which cluster.
        cluster: String,
    },
    /// No number is left.
    #[error("generation {0} is the last that can be counted")]
    Spent(u64),
}

fn digest(body: &str) -> String {
    Sha256::digest(body.as_bytes())
        .iter()
        .take(8)
        .map(|b| format!("{b:02x}"))
        .collect()
}

impl Record {
    /// The record as text.
    pub fn write(&self) -> String {
        let body = format!(
            "pipithub generation 1\n{}\n{}\n{}\n",
            self.cluster, self.name, self.generation
        );
        format!("{body}{}\n", digest(&body))
    }

    /// Reads a text that [`Record::write`] made.
    pub fn read(text: &str) -> Result<Record, Damaged> {
        let text = text
            .strip_suffix('\n')
            .ok_or(Damaged::Text("it breaks off"))?;
        let at = text.rfind('\n').ok_or(Damaged::Text("it breaks off"))? + 1;
        let (body, sum) = text.split_at(at);
        if digest(body) != sum {
            return Err(Damaged::Text("its check sum is another"));
        }
        let mut lines = body.lines();
        if lines.next() != Some("pipithub generation 1") {
            return Err(Damaged::Text("it is of another version"));
        }
        let (cluster, name, number) = (lines.next(), lines.next(), lines.next());
        let (Some(cluster), Some(name), Some(number)) = (cluster, name, number) else {
            return Err(Damaged::Text("lines are missing"));
        };
        let generation = number
            .parse()
            .map_err(|_| Damaged::Text("its generation is no number"))?;
        Ok(Record {
            cluster: cluster.into(),
            name: name.into(),
            generation,
        })
    }

    /// What a start with this folder takes: the record to write before anything is sent, and whether the folder was
    /// empty.
    pub fn start(
        found: Option<&str>,
        cluster: &str,
        name: &str,
    ) -> Result<(Record, bool), Damaged> {
        let last = match found {
            None => None,
            Some(text) => {
                let record = Record::read(text)?;
                if record.cluster != cluster || record.name != name {
                    return Err(Damaged::Foreign {
                        name: record.name,
                        cluster: record.cluster,
                    });
                }
                Some(record.generation)
            }
        };
        let number = last.unwrap_or(0);
        let generation = number.checked_add(1).ok_or(Damaged::Spent(number))?;
        Ok((
            Record {
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
        let (first, empty) = Record::start(None, "campus", "front-1").unwrap();
        assert!(empty && first.generation == 1);
        let (second, empty) = Record::start(Some(&first.write()), "campus", "front-1").unwrap();
        assert!(!empty && second.generation == 2);
    }

    #[test]
    fn another_front_ends_folder_is_refused() {
        let (first, _) = Record::start(None, "campus", "front-1").unwrap();
        let text = first.write();
        assert!(matches!(
            Record::start(Some(&text), "campus", "front-2"),
            Err(Damaged::Foreign { .. })
        ));
        assert!(matches!(
            Record::start(Some(&text), "other", "front-1"),
            Err(Damaged::Foreign { .. })
        ));
        let last = Record {
            generation: u64::MAX,
            ..first
        }
        .write();
        assert_eq!(
            Record::start(Some(&last), "campus", "front-1"),
            Err(Damaged::Spent(u64::MAX))
        );
    }

    proptest! {
        #[test]
        fn a_torn_or_turned_record_is_never_read(cut in 0usize..200, at in 0usize..200, bit in 0u8..7) {
            let text = Record { cluster: "campus".into(), name: "front-1".into(), generation: 41 }.write();
            if cut < text.len() {
                prop_assert!(Record::read(&text[..cut]).is_err());
            }
            let mut bytes = text.clone().into_bytes();
            let at = at % bytes.len();
            bytes[at] ^= 1 << bit;
            if let Ok(turned) = String::from_utf8(bytes) {
                prop_assert!(Record::read(&turned).is_err());
            }
        }
    }
}
