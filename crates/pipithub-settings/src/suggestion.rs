//! Suggestions for misspelt names.

/// The maximum edit distance between a misspelt name and a suggestion.
const MAX_EDITS: usize = 2;

/// A hint with the known name that is most similar to `name`; `None` if no name is similar enough.
pub(crate) fn suggest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<String> {
    let (distance, nearest) = known
        .map(|known| (edit_distance(name, known), known))
        .min()?;
    (distance <= MAX_EDITS).then(|| format!("did you mean '{nearest}'?"))
}

/// The Levenshtein distance between two texts: the minimum number of insertions, deletions and replacements.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    // The distances between the characters of `left` so far and each prefix of `right`.
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (left_index, left_char) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = left_index + 1;
        for (index, right_char) in right.iter().enumerate() {
            let replaced = diagonal + usize::from(left_char != *right_char);
            let inserted = row[index] + 1;
            let deleted = row[index + 1] + 1;
            diagonal = row[index + 1];
            row[index + 1] = replaced.min(inserted).min(deleted);
        }
    }
    row[right.len()]
}
