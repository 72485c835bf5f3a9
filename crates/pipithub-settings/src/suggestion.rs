//! Suggests the known name that a misspelt one was likely meant to be.

/// Names that differ by more edits than this are not taken for one another.
const MAX_EDITS: usize = 2;

/// The known name nearest to `name`, as a hint, where it is near enough.
pub(crate) fn suggest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<String> {
    let (distance, nearest) = known
        .map(|known| (edit_distance(name, known), known))
        .min()?;
    (distance <= MAX_EDITS).then(|| format!("did you mean '{nearest}'?"))
}

/// The Levenshtein distance: insertions, deletions and replacements that make one text of the other.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    // Distances of the characters of `left` so far to each beginning of `right`.
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
