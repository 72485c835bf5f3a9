//! Matching routing keys against the patterns of topic exchanges.

/// Whether a key matches a topic pattern, where `*` stands for one word and `#` for any number of words.
pub(super) fn topic_matches(pattern: &str, key: &str) -> bool {
    let words: Vec<&str> = key.split('.').collect();
    // `matched[n]` states whether the words of the pattern so far match the first `n` words of the key. The time is
    // proportional to the product of both lengths, even with many `#`.
    let mut matched = vec![false; words.len() + 1];
    matched[0] = true;
    for pattern_word in pattern.split('.') {
        if pattern_word == "#" {
            for count in 1..matched.len() {
                matched[count] |= matched[count - 1];
            }
        } else {
            for count in (1..matched.len()).rev() {
                let word_matches = pattern_word == "*" || pattern_word == words[count - 1];
                matched[count] = matched[count - 1] && word_matches;
            }
            matched[0] = false;
        }
    }
    matched[words.len()]
}

#[cfg(test)]
mod tests;
