//! Suggestions for misspelt words.

/// A suggestion may differ from a word by one edit for each this many letters of the word.
const LETTERS_PER_EDIT: usize = 3;

/// Returns the candidate with the smallest edit distance from `word`, if that is small enough to
/// make it a likely correction.
pub fn nearest<'a>(word: &str, candidates: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let max_edits = (word.chars().count() / LETTERS_PER_EDIT).max(1);
    let with_distance = |candidate: &'a str| {
        let edits = strsim::damerau_levenshtein(word, candidate);
        (edits, candidate)
    };
    candidates
        .into_iter()
        .map(with_distance)
        .filter(|(edits, _)| *edits <= max_edits)
        .min()
        .map(|(_, candidate)| candidate)
}
