//! Runs the command line as a process against a fake store.

use basilstep_bench::fakes::store::{FakeStore, StoreFault, WriteToken};
use basilstep_core::{
    codes::ResultCode,
    crypto::ClusterKey,
    settings::{ApplyOutcome, SettingsState},
};
use basilstep_node::store::{ConsulStore, SETTINGS_PREFIX, Store};
use rstest::rstest;
use serde_json::Value;
use std::{fs, net::Ipv4Addr, process::Output};
use tokio::process::Command;

const KEY: &str = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";
const ADDRESS: &str = "127.0.0.1:7443";

struct TestEnvironment {
    server: FakeStore,
}

/// The JSON output and the exit status of one command.
struct CommandOutput {
    status: u8,
    printed: Value,
}

impl CommandOutput {
    fn code(&self) -> u64 {
        self.printed["code"].as_u64().unwrap()
    }

    fn message(&self) -> &str {
        self.printed["message"].as_str().unwrap_or_default()
    }
}

impl TestEnvironment {
    async fn new() -> Self {
        Self::with_tokens(Vec::new()).await
    }

    async fn with_tokens(tokens: Vec<WriteToken>) -> Self {
        let listen = (Ipv4Addr::LOCALHOST, 0).into();
        let server = FakeStore::bind(listen, tokens).await.unwrap();
        Self { server }
    }

    async fn output(&self, line: &str) -> Output {
        Command::new(env!("CARGO_BIN_EXE_basilstep-ctl"))
            .args(line.split_whitespace())
            .env("BASILSTEP_STORE", self.server.url())
            .env("BASILSTEP_CLUSTER_KEY", KEY)
            .output()
            .await
            .unwrap()
    }

    async fn run(&self, line: &str) -> CommandOutput {
        let output = self.output(&format!("{line} --json")).await;
        let status = u8::try_from(output.status.code().unwrap()).unwrap();
        let printed = serde_json::from_slice(&output.stdout).unwrap();
        CommandOutput { status, printed }
    }

    async fn run_all(&self, lines: &[&str]) {
        for line in lines {
            let run = self.run(line).await;
            assert_eq!(run.code(), 0, "{line}: {}", run.message());
        }
    }

    /// Returns the settings of a process that reads the store now.
    async fn settings(&self) -> SettingsState {
        let store = ConsulStore::open(&self.server.url(), None).unwrap();
        let snapshot = store.read_tree(SETTINGS_PREFIX).await.unwrap();
        let mut state = SettingsState::new(ClusterKey::from_hex(KEY).unwrap());
        for (path, applied) in state.apply_full_read(snapshot.index, snapshot.entries) {
            assert_eq!(applied, ApplyOutcome::InForce, "{path}");
        }
        state
    }
}

#[tokio::test]
async fn created_service_is_served_until_it_is_removed() {
    let environment = TestEnvironment::new().await;
    let create = format!("service create rail/holds --address {ADDRESS}");
    environment
        .run_all(&[
            &create,
            "service change rail/holds --set admission.request_limit=2",
        ])
        .await;
    let settings = environment.settings().await;
    let service = settings
        .view()
        .service_at("teams/rail/services/holds")
        .unwrap();
    assert_eq!(service.record.admission.request_limit, 2);
    environment.run_all(&["service remove rail/holds"]).await;
    let settings = environment.settings().await;
    assert!(settings.view().services.is_empty());
    let left: Vec<&str> = settings
        .entries()
        .map(|entry| entry.path.as_str())
        .collect();
    assert_eq!(left, ["removals/last"]);
}

#[rstest]
#[case::address_taken("service create rail/b --address 127.0.0.1:7443", 504)]
#[case::exists("service create rail/a --address 127.0.0.1:1", 510)]
#[case::missing("service show rail/none", 509)]
#[case::other_team("--team gold service change rail/a --set admission.queue_limit=1", 505)]
#[case::out_of_range("service change rail/a --set admission.queue_limit=-1", 501)]
#[case::unknown_setting("service change rail/a --set admission.limit=1", 501)]
#[case::no_team("service show a", 501)]
#[case::bad_name("service create rail/A --address 127.0.0.1:1", 501)]
#[case::domain_by_team("--team gold domain out north", 505)]
#[case::keys_by_team("--team gold keys rotate", 505)]
#[case::unknown_domain("domain out none", 509)]
#[case::last_domain("domain out north", 511)]
#[case::same_domain_number("domain create south --id 0", 510)]
#[case::keys_exist("keys init", 510)]
#[case::bad_store("--store 127.0.0.1:1 service list", 501)]
#[case::store_down("--store http://127.0.0.1:1 service list", 506)]
#[case::process_down("dump 127.0.0.1:1", 602)]
#[tokio::test]
async fn failed_command_returns_its_code_and_writes_nothing(#[case] line: &str, #[case] code: u16) {
    let environment = TestEnvironment::new().await;
    let create = format!("service create rail/a --address {ADDRESS}");
    environment
        .run_all(&[&create, "domain create north", "keys init"])
        .await;
    let before = environment.settings().await.version();
    let run = environment.run(line).await;
    assert_eq!(run.code(), u64::from(code), "{}", run.message());
    let code = ResultCode::try_from(code).unwrap();
    assert_eq!(run.status, code.exit_status());
    assert_eq!(environment.settings().await.version(), before);
}

#[tokio::test]
async fn dry_run_shows_the_difference_and_writes_nothing() {
    let environment = TestEnvironment::new().await;
    let create = format!("service create rail/a --address {ADDRESS}");
    let run = environment.run(&format!("{create} --dry-run")).await;
    assert_eq!(run.code(), 0);
    assert_eq!(environment.server.counts().writes, 0);
    environment.run_all(&[&create]).await;
    let writes = environment.server.counts().writes;
    let run = environment
        .run("service change rail/a --set admission.queue_limit=5 --dry-run")
        .await;
    let changes = &run.printed["result"]["changes"];
    assert_eq!(changes[0], "~ admission.queue_limit: 64 -> 5");
    assert_eq!(environment.server.counts().writes, writes);
}

#[tokio::test]
async fn lost_responses_are_read_back_and_reported() {
    let environment = TestEnvironment::new().await;
    environment.server.set_fault(StoreFault::AnswerLost, true);
    let create = format!("service create rail/a --address {ADDRESS}");
    let run = environment.run(&create).await;
    assert_eq!(run.code(), 0, "{}", run.message());
    let outcome = run.printed["result"]["outcome"].as_str().unwrap();
    assert!(outcome.contains("answer was lost"), "{outcome}");
    assert_eq!(environment.settings().await.view().services.len(), 1);
}

#[tokio::test]
async fn two_concurrent_operators_never_lose_a_change_unnoticed() {
    let environment = TestEnvironment::new().await;
    let create = format!("service create rail/a --address {ADDRESS}");
    environment.run_all(&[&create]).await;
    let (first, second) = tokio::join!(
        environment.run("service change rail/a --set admission.queue_limit=5"),
        environment.run("service change rail/a --set requests.retry_limit=5"),
    );
    let settings = environment.settings().await;
    let record = &settings
        .view()
        .service_at("teams/rail/services/a")
        .unwrap()
        .record;
    let in_force = [
        record.admission.queue_limit == 5,
        record.requests.retry_limit == 5,
    ];
    for (run, in_force) in [&first, &second].into_iter().zip(in_force) {
        assert!(matches!(run.code(), 0 | 507), "{}", run.message());
        assert_eq!(run.code() == 0, in_force, "{}", run.message());
    }
}

#[tokio::test]
async fn services_created_concurrently_get_different_numbers() {
    let environment = TestEnvironment::new().await;
    let (first, second) = tokio::join!(
        environment.run("service create rail/a --address 127.0.0.1:1"),
        environment.run("service create gold/b --address 127.0.0.1:2"),
    );
    assert_eq!((first.code(), second.code()), (0, 0));
    assert_eq!(environment.settings().await.view().services.len(), 2);
}

#[tokio::test]
async fn orphaned_claims_are_reused_by_the_same_path_only() {
    let environment = TestEnvironment::new().await;
    let claim = r#"{"owner":"teams/rail/services/a"}"#;
    let path = format!("basilstep/claims/addresses/{ADDRESS}");
    environment.server.put(&path, claim);
    environment.server.put("basilstep/claims/ids/77", claim);
    let other = environment
        .run(&format!("service create gold/b --address {ADDRESS}"))
        .await;
    assert_eq!(other.code(), 504);
    assert!(other.message().contains("teams/rail/services/a"));
    let create = format!("service create rail/a --address {ADDRESS}");
    environment.run_all(&[&create]).await;
    let settings = environment.settings().await;
    let ids: Vec<u16> = settings.view().services.keys().map(|id| id.0).collect();
    assert_eq!(ids, [77]);
}

#[tokio::test]
async fn changed_address_is_claimed_and_the_old_one_is_free_again() {
    let environment = TestEnvironment::new().await;
    let create = format!("service create rail/a --address {ADDRESS}");
    let reuse = format!("service create gold/b --address {ADDRESS}");
    environment
        .run_all(&[
            &create,
            "service change rail/a --address 127.0.0.1:2",
            &reuse,
        ])
        .await;
    assert_eq!(environment.settings().await.view().services.len(), 2);
}

#[tokio::test]
async fn last_domain_is_taken_out_only_with_force() {
    let environment = TestEnvironment::new().await;
    environment
        .run_all(&[
            "domain create north",
            "domain create south",
            "domain out north",
        ])
        .await;
    assert_eq!(environment.run("domain out south").await.code(), 511);
    environment
        .run_all(&["domain out south --force", "domain in north"])
        .await;
    let settings = environment.settings().await;
    let out: Vec<bool> = settings
        .view()
        .domains
        .values()
        .map(|domain| settings.view().domains_out.contains(domain.id))
        .collect();
    assert_eq!(out, [false, true]);
}

#[tokio::test]
async fn two_concurrent_operators_never_take_all_domains_out() {
    let environment = TestEnvironment::new().await;
    environment
        .run_all(&["domain create north", "domain create south"])
        .await;
    let (first, second) = tokio::join!(
        environment.run("domain out north"),
        environment.run("domain out south"),
    );
    let done = [&first, &second]
        .iter()
        .filter(|run| run.code() == 0)
        .count();
    assert!(done <= 1, "{} {}", first.message(), second.message());
    let settings = environment.settings().await;
    let domains = settings.view().domains.values();
    assert!(
        domains
            .clone()
            .any(|domain| !settings.view().domains_out.contains(domain.id))
    );
}

#[tokio::test]
async fn keys_rotate_once_a_day_and_the_previous_one_stays_valid() {
    let environment = TestEnvironment::new().await;
    environment.run_all(&["keys init", "keys rotate"]).await;
    let keys = environment.settings().await.view().flow_keys.unwrap();
    assert_eq!((keys.current.id, keys.previous.unwrap().id), (2, 1));
    assert_eq!(environment.run("keys rotate").await.code(), 511);
    environment.run_all(&["keys rotate --force"]).await;
}

#[tokio::test]
async fn key_of_a_certificate_is_sealed_before_it_is_written() {
    let environment = TestEnvironment::new().await;
    let create = format!("service create rail/a --address {ADDRESS}");
    environment.run_all(&[&create]).await;
    let directory = env!("CARGO_TARGET_TMPDIR");
    let (chain, key) = (
        format!("{directory}/chain.pem"),
        format!("{directory}/key.pem"),
    );
    let block = |label: &str| format!("-----BEGIN {label}-----\nAA==\n-----END {label}-----\n");
    fs::write(&chain, block("CERTIFICATE")).unwrap();
    fs::write(&key, block("PRIVATE KEY")).unwrap();
    let set = format!("certificate set rail/a --chain {chain} --key {key}");
    environment.run_all(&[&set]).await;
    let settings = environment.settings().await;
    let record = settings.certificate_of("teams/rail/services/a").unwrap();
    let cluster_key = ClusterKey::from_hex(KEY).unwrap();
    let opened = cluster_key.open("certificate", &record.sealed_key).unwrap();
    assert_eq!(opened, block("PRIVATE KEY").as_bytes());
    let swapped = format!("certificate set rail/a --chain {key} --key {chain}");
    assert_eq!(environment.run(&swapped).await.code(), 501);
}

#[tokio::test]
async fn store_token_rejects_a_write_that_the_team_flag_allows() {
    let token = WriteToken {
        token: "gold".to_owned(),
        prefix: "basilstep/teams/gold/".to_owned(),
    };
    let environment = TestEnvironment::with_tokens(vec![token]).await;
    let line = "--store-token gold service create rail/a --address 127.0.0.1:1";
    assert_eq!(environment.run(line).await.code(), 505);
}

#[rstest]
#[case::top("--help", "basilstep-ctl")]
#[case::leaf("service create --help", "--dry-run")]
#[case::version("--version", "0.1.0")]
#[tokio::test]
async fn help_and_version_are_printed(#[case] line: &str, #[case] expected: &str) {
    let output = TestEnvironment::new().await.output(line).await;
    assert!(output.status.success());
    assert!(String::from_utf8_lossy(&output.stdout).contains(expected));
}
