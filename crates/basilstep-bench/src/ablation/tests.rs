use super::{
    mechanisms::{MECHANISMS, NOTHING, UNCHANGED},
    play::with_overrides,
    table::{markdown, rows},
};
use crate::journal::entries::AblationRun;
use basilstep_core::flows::FlowSettings;

fn run(mechanism: &str, seed: u64, worth: f64) -> AblationRun {
    AblationRun {
        at: format!("2026-12-04T07:00:0{seed}Z"),
        site: "east".to_owned(),
        mechanism: mechanism.to_owned(),
        day: "trouble-1".to_owned(),
        seed,
        worth,
        has_broken_rule: worth < 0.5,
    }
}

#[test]
fn runs_are_compared_with_the_same_play_with_all_mechanisms() {
    let runs = [
        run(NOTHING, 1, 0.80),
        run(NOTHING, 2, 0.90),
        run("pending SYNs", 1, 0.79),
        run("pending SYNs", 2, 0.40),
        run("pending SYNs", 3, 0.10),
    ];
    let rows = rows(&runs);
    let row = &rows[&("east".to_owned(), "pending SYNs")];
    assert_eq!((row.plays, row.broken), (2, 1));
    assert!((row.mean_worth - 0.595).abs() < 1e-9);
    assert!((row.differences[0] + 0.5).abs() < 1e-9);
    assert!((row.differences[2] + 0.01).abs() < 1e-9);
    assert_eq!(markdown(&rows).lines().count(), 4);
}

#[test]
fn last_run_of_a_play_counts() {
    let runs = [run(NOTHING, 1, 0.80), run(NOTHING, 1, 0.70)];
    let row = &rows(&runs)[&("east".to_owned(), NOTHING)];
    assert!((row.mean_worth - 0.70).abs() < 1e-9);
}

#[test]
fn all_programs_run_with_the_overrides() {
    let deploy = "build = \"make\"\n[roles.a]\nrun = \"bin/a\"\non = \"front\"\n";
    let changed = with_overrides(deploy, &["hints.limit=1", "syns.doubt_ms=0"]);
    let run = "run = \"bin/a --set hints.limit=1 --set syns.doubt_ms=0\"";
    assert_eq!(changed, deploy.replace("run = \"bin/a\"", run));
    assert_eq!(with_overrides(deploy, &[]), deploy);
}

/// Guards against a comparison with runs that are not those with all mechanisms.
#[test]
fn runs_with_all_mechanisms_have_the_defaults() {
    let limit = FlowSettings::default().hints.limit;
    assert_eq!(UNCHANGED, format!("hints.limit={limit}"));
}

/// Guards against a table of mechanisms whose settings have been renamed.
#[test]
fn overrides_name_settings() {
    let settings = serde_json::to_value(FlowSettings::default()).unwrap();
    for text in MECHANISMS.iter().flat_map(|mechanism| mechanism.overrides) {
        let (name, _) = text.split_once('=').unwrap();
        let (group, field) = name.split_once('.').unwrap();
        assert!(settings[group][field].is_number(), "{name}");
    }
}
