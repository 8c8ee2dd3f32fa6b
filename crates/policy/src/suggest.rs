//! Likely corrections of misspelt words.

/// Letters of a word for each edit that a correction may need.
const LETTERS_PER_EDIT: usize = 3;

/// The candidate nearest to `word`, if it is near enough to be a likely correction.
pub fn nearest<'a>(word: &str, candidates: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let most_edits = (word.chars().count() / LETTERS_PER_EDIT).max(1);
    let distance = |candidate: &'a str| {
        let edits = strsim::damerau_levenshtein(word, candidate);
        (edits, candidate)
    };
    candidates
        .into_iter()
        .map(distance)
        .filter(|(edits, _)| *edits <= most_edits)
        .min()
        .map(|(_, candidate)| candidate)
}
