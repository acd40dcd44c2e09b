use super::mechanisms::{MECHANISMS, NOTHING};
use crate::journal::entries::AblationRun;
use std::{collections::BTreeMap, fmt::Write};

/// One play of a day, by which runs without a mechanism are compared with those that have all.
type Play<'a> = (&'a str, &'a str, u64);

/// What the runs without one mechanism show.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Row {
    /// How many plays were compared.
    pub plays: usize,
    /// The mean worth without the mechanism.
    pub mean_worth: f64,
    /// The worth without the mechanism less that of the same play with it: least, mean, greatest.
    pub differences: [f64; 3],
    /// In how many plays a rule was broken.
    pub broken: usize,
}

/// Compares the runs of each site and mechanism with the same plays with all mechanisms; of several
/// runs of one play the last counts.
pub fn rows(runs: &[AblationRun]) -> BTreeMap<(String, &'static str), Row> {
    let mut last: BTreeMap<(&str, Play<'_>), &AblationRun> = BTreeMap::new();
    for run in runs {
        let play = (run.site.as_str(), run.day.as_str(), run.seed);
        last.insert((run.mechanism.as_str(), play), run);
    }
    let mut rows = BTreeMap::new();
    for mechanism in &MECHANISMS {
        let mut by_site: BTreeMap<&str, Vec<(&AblationRun, f64)>> = BTreeMap::new();
        for ((_, play), run) in last.iter().filter(|((name, _), _)| *name == mechanism.name) {
            if let Some(complete) = last.get(&(NOTHING, *play)) {
                let difference = run.worth - complete.worth;
                by_site.entry(play.0).or_default().push((run, difference));
            }
        }
        for (site, compared) in by_site {
            rows.insert((site.to_owned(), mechanism.name), row(&compared));
        }
    }
    rows
}

fn row(compared: &[(&AblationRun, f64)]) -> Row {
    let plays = compared.len();
    let mean = |sum: f64| sum / plays as f64;
    let differences = compared.iter().map(|(_, difference)| *difference);
    Row {
        plays,
        mean_worth: mean(compared.iter().map(|(run, _)| run.worth).sum()),
        differences: [
            differences.clone().fold(f64::INFINITY, f64::min),
            mean(differences.clone().sum()),
            differences.fold(f64::NEG_INFINITY, f64::max),
        ],
        broken: compared
            .iter()
            .filter(|(run, _)| run.has_broken_rule)
            .count(),
    }
}

/// Returns the rows as a Markdown table, in the order of the mechanisms.
pub fn markdown(rows: &BTreeMap<(String, &'static str), Row>) -> String {
    let mut text =
        "| site | switched off | plays | worth | difference: mean (least to greatest) | \
                    plays with a broken rule |\n|---|---|---|---|---|---|\n"
            .to_owned();
    let mut sites: Vec<&str> = rows.keys().map(|(site, _)| site.as_str()).collect();
    sites.dedup();
    for site in sites {
        for mechanism in &MECHANISMS {
            let Some(row) = rows.get(&(site.to_owned(), mechanism.name)) else {
                continue;
            };
            let [least, mean, greatest] = row.differences;
            // Writing to a string does not fail.
            let _ = writeln!(
                text,
                "| {site} | {} | {} | {:.4} | {mean:+.4} ({least:+.4} to {greatest:+.4}) | {} |",
                mechanism.name, row.plays, row.mean_worth, row.broken
            );
        }
    }
    text
}
