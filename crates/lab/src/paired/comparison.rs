//! Compares runs of two versions, paired by site, day and seed. Runs of one version with different
//! seeds differ far more than runs of two versions on the same day with the same seed, so only pairs
//! are compared.

use std::collections::BTreeMap;

use super::journal::DayRun;

/// Site, day and seed of a pair.
type PairKey = (String, String, u64);

/// The runs of both versions on one day with one seed.
#[derive(Debug, Clone, PartialEq)]
pub struct Pair {
    /// Name of the deployment.
    pub site: String,
    /// Name of the day.
    pub day: String,
    /// Seed of the day's random events.
    pub seed: u64,
    /// Score of the version before.
    pub before: f64,
    /// Score of the version after.
    pub after: f64,
    /// Whether no run of either version violated a rule or failed.
    pub passed: bool,
}

/// Summary of the pairs of one day, or of all days of a site.
#[derive(Debug, Clone, PartialEq)]
pub struct Summary {
    /// Name of the deployment.
    pub site: String,
    /// Name of the day; `all` for all days of the site.
    pub day: String,
    /// Number of pairs.
    pub pairs: usize,
    /// Mean score of the version before.
    pub before: f64,
    /// Mean score of the version after.
    pub after: f64,
    /// Mean difference of the scores, after minus before.
    pub difference: f64,
    /// Standard deviation of the differences.
    pub standard_deviation: f64,
    /// Minimum score of the version after.
    pub min_after: f64,
    /// Number of pairs in which a rule was violated or a run failed.
    pub failed_pairs: usize,
}

/// Pairs the runs whose reasons contain `before` with those whose reasons contain `after`. Several
/// runs of one version with the same day and seed count as one run with their mean score.
pub fn pair(runs: &[DayRun], before: &str, after: &str) -> Vec<Pair> {
    let before = mean_scores(runs, before);
    let after = mean_scores(runs, after);
    let pairs = before.into_iter().filter_map(|(key, (before, passed))| {
        let (after, passed_after) = after.get(&key)?;
        let (site, day, seed) = key;
        Some(Pair {
            site,
            day,
            seed,
            before,
            after: *after,
            passed: passed && *passed_after,
        })
    });
    pairs.collect()
}

fn mean_scores(runs: &[DayRun], reason: &str) -> BTreeMap<PairKey, (f64, bool)> {
    let mut scores_by_key: BTreeMap<PairKey, (Vec<f64>, bool)> = BTreeMap::new();
    for run in runs.iter().filter(|run| run.reason.contains(reason)) {
        let key = (run.site.clone(), run.day.clone(), run.seed);
        let (scores, passed) = scores_by_key.entry(key).or_insert((Vec::new(), true));
        scores.push(run.score);
        *passed &= run.passed;
    }
    scores_by_key
        .into_iter()
        .map(|(key, (scores, passed))| (key, (mean(scores.iter().copied()), passed)))
        .collect()
}

/// Summarises the pairs of each day of each site, and those of all days of each site.
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
        .map(|((site, day), pairs)| summarise_group(site, day, &pairs));
    summaries.collect()
}

fn summarise_group(site: String, day: String, pairs: &[&Pair]) -> Summary {
    let differences = || pairs.iter().map(|pair| pair.after - pair.before);
    let difference = mean(differences());
    let squares = differences().map(|value| (value - difference).powi(2));
    Summary {
        site,
        day,
        pairs: pairs.len(),
        before: mean(pairs.iter().map(|pair| pair.before)),
        after: mean(pairs.iter().map(|pair| pair.after)),
        difference,
        standard_deviation: mean(squares).sqrt(),
        min_after: pairs
            .iter()
            .map(|pair| pair.after)
            .fold(f64::INFINITY, f64::min),
        failed_pairs: pairs.iter().filter(|pair| !pair.passed).count(),
    }
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (count, sum) = values.fold((0_u32, 0.0), |(count, sum), value| (count + 1, sum + value));
    sum / f64::from(count.max(1))
}
