//! Plays of two versions, paired by site, day and seed. Days of one version differ by their luck far
//! more than two versions do on the same day with the same luck, so that only pairs are compared.

use std::collections::BTreeMap;

use super::journal::Play;

/// What a pair has in common.
type Key = (String, String, u64);

/// The two plays of one day with one seed.
#[derive(Debug, Clone, PartialEq)]
pub struct Pair {
    /// The deployment.
    pub site: String,
    /// The day.
    pub day: String,
    /// The seed.
    pub seed: u64,
    /// The worth with the version before.
    pub before: f64,
    /// The worth with the version after.
    pub after: f64,
    /// Whether both plays kept all rules.
    pub kept: bool,
}

/// The pairs of one day, or of all days of a site.
#[derive(Debug, Clone, PartialEq)]
pub struct Summary {
    /// The deployment.
    pub site: String,
    /// The day; `all` for all of the site.
    pub day: String,
    /// Pairs.
    pub pairs: usize,
    /// Mean worth before.
    pub before: f64,
    /// Mean worth after.
    pub after: f64,
    /// Mean of the differences.
    pub difference: f64,
    /// Standard deviation of the differences.
    pub spread: f64,
    /// The least worth after.
    pub least: f64,
    /// Pairs in which a rule was broken.
    pub broken: usize,
}

/// The pairs of plays whose reasons contain these texts. Of several plays of one day and seed with
/// one version, the mean counts.
pub fn pair(plays: &[Play], before: &str, after: &str) -> Vec<Pair> {
    let before = means(plays, before);
    let after = means(plays, after);
    let pairs = before.into_iter().filter_map(|(key, (before, kept))| {
        let (after, kept_after) = after.get(&key)?;
        let (site, day, seed) = key;
        Some(Pair {
            site,
            day,
            seed,
            before,
            after: *after,
            kept: kept && *kept_after,
        })
    });
    pairs.collect()
}

fn means(plays: &[Play], reason: &str) -> BTreeMap<Key, (f64, bool)> {
    let mut worths: BTreeMap<Key, (Vec<f64>, bool)> = BTreeMap::new();
    for play in plays.iter().filter(|play| play.why.contains(reason)) {
        let key = (play.site.clone(), play.day.clone(), play.seed);
        let (worth, kept) = worths.entry(key).or_insert((Vec::new(), true));
        worth.push(play.worth);
        *kept &= play.kept;
    }
    worths
        .into_iter()
        .map(|(key, (worths, kept))| (key, (mean(worths.iter().copied()), kept)))
        .collect()
}

/// Each day of each site, and each site with all its days.
pub fn summarise(pairs: &[Pair]) -> Vec<Summary> {
    let mut groups: BTreeMap<(String, String), Vec<&Pair>> = BTreeMap::new();
    for pair in pairs {
        for day in [pair.day.as_str(), "all"] {
            let key = (pair.site.clone(), day.to_owned());
            groups.entry(key).or_default().push(pair);
        }
    }
    let summaries = groups
        .into_iter()
        .map(|((site, day), pairs)| summary(site, day, &pairs));
    summaries.collect()
}

fn summary(site: String, day: String, pairs: &[&Pair]) -> Summary {
    let differences = || pairs.iter().map(|pair| pair.after - pair.before);
    let difference = mean(differences());
    let squares = differences().map(|one| (one - difference).powi(2));
    Summary {
        site,
        day,
        pairs: pairs.len(),
        before: mean(pairs.iter().map(|pair| pair.before)),
        after: mean(pairs.iter().map(|pair| pair.after)),
        difference,
        spread: mean(squares).sqrt(),
        least: pairs
            .iter()
            .map(|pair| pair.after)
            .fold(f64::INFINITY, f64::min),
        broken: pairs.iter().filter(|pair| !pair.kept).count(),
    }
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (count, sum) = values.fold((0_u32, 0.0), |(count, sum), value| (count + 1, sum + value));
    sum / f64::from(count.max(1))
}
