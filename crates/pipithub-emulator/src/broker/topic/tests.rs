//! Topic patterns against the examples of the specification.

use super::topic_matches;

#[test]
fn topics_match_as_specified() {
    for (pattern, key, fits) in [
        ("*.stock.#", "usd.stock", true),
        ("*.stock.#", "eur.stock.db", true),
        ("*.stock.#", "stock.nasdaq", false),
        ("#", "", true),
        ("#", "a", true),
        ("#", "a.b.c", true),
        ("a.*", "a", false),
        ("a.#.b", "a.b", true),
        ("a.#.b", "a.x.y.b", true),
        ("a.#.b", "a.x.y.c", false),
    ] {
        assert_eq!(topic_matches(pattern, key), fits, "{pattern} {key}");
    }
}
