//! The demonstration: played short with real processes, and its verdict on recorded violations.

use std::collections::BTreeSet;
use std::fs;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

use rustix::process::{Pid, Signal, kill_process};
use wingspar_rehearse::demo::evidence::{Answer, Emptied, Evidence, Place, QuotaBound, Run, Step};

const SECOND_US: u64 = 1_000_000;

/// The demonstration with the program `wingspar` beside it, not built by cargo.
fn demo() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_wingspar-rehearse"));
    command.arg("demo").env_remove("CARGO");
    command
}

/// Where a demonstration with that process id keeps its settings.
fn folder_of(demo: u32) -> PathBuf {
    std::env::temp_dir().join(format!("wingspar-demo-{demo}"))
}

/// Ids of the processes that a demonstration has started and that still run.
fn processes_of(demo: u32) -> Vec<String> {
    let folder = folder_of(demo).display().to_string();
    let processes = fs::read_dir("/proc").unwrap().filter_map(Result::ok);
    let runs_there = |path: &Path| {
        let words = fs::read(path.join("cmdline")).unwrap_or_default();
        String::from_utf8_lossy(&words).contains(&folder)
    };
    let ours = processes.filter(|process| runs_there(&process.path()));
    ours.map(|process| process.file_name().to_string_lossy().into_owned())
        .collect()
}

fn assert_nothing_left(demo: u32) {
    assert_eq!(processes_of(demo), Vec::<String>::new());
    assert!(!folder_of(demo).exists());
}

#[test]
fn the_short_demonstration_keeps_all_promises_and_leaves_nothing_behind() {
    let written = std::env::temp_dir().join(format!("wingspar-written-{}", std::process::id()));
    let (page, saved) = (
        written.with_extension("html"),
        written.with_extension("json"),
    );
    let mut command = demo();
    let command = command.args(["--short", "--html"]).arg(&page);
    let command = command.arg("--save").arg(&saved);
    let child = command.stdout(Stdio::piped()).spawn().unwrap();
    let id = child.id();
    let output = child.wait_with_output().unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}");
    for line in [
        "is drained",
        "is lost",
        "more than its quota",
        "broken promises: 0",
    ] {
        assert!(text.contains(line), "{line}: {text}");
    }
    let html = fs::read_to_string(&page).unwrap();
    fs::remove_file(&page).unwrap();
    assert!(html.contains("<svg"));
    let seen = fs::read_to_string(&saved).unwrap();
    fs::remove_file(&saved).unwrap();
    assert_promises_were_at_stake(&serde_json::from_str(&seen).unwrap());
    assert_nothing_left(id);
}

/// Each promise could have been broken by what was seen.
fn assert_promises_were_at_stake(evidence: &Evidence) {
    let runs = || evidence.runs.iter();
    let owners = runs().filter(|run| run.key == Some(0) && run.fence.is_some());
    let owners = owners.map(|run| &run.target).collect::<BTreeSet<_>>();
    assert!(owners.len() > 1, "{owners:?}");
    let answers = || evidence.answers.iter();
    let once = answers().filter(|answer| !answer.repeatable && answer.own);
    assert!(once.count() > 100);
    let not_run = answers().filter(|answer| !answer.repeatable && answer.status == Some(503));
    assert!(not_run.count() > 0);
    let over_quota = answers().filter(|answer| answer.status == Some(429));
    assert!(over_quota.count() > 100);
    let of_guest = runs().filter(|run| run.tenants == ["guest"]);
    assert!(of_guest.count() > 100);
    let [
        Emptied {
            place,
            from_us,
            until_us,
        },
    ] = evidence.emptied.as_slice()
    else {
        panic!("{:?}", evidence.emptied);
    };
    assert!(until_us - from_us > SECOND_US);
    let target = |run: &&Run| *place == Place::Target(run.target.clone());
    assert!(runs().filter(target).count() > 0);
}

#[test]
fn a_demonstration_that_is_interrupted_ends_its_processes() {
    for signal in [Signal::INT, Signal::TERM] {
        let mut child = demo()
            .arg("--short")
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let calm = lines.find(|line| line.as_ref().is_ok_and(|line| line.contains("calm")));
        assert!(calm.is_some());
        assert_eq!(processes_of(child.id()).len(), 8);
        let id = i32::try_from(child.id()).unwrap();
        kill_process(Pid::from_raw(id).unwrap(), signal).unwrap();
        assert_eq!(child.wait().unwrap().code(), Some(1));
        assert_nothing_left(child.id());
    }
}

fn answer(id: &str, status: u16) -> Answer {
    Answer {
        id: id.to_owned(),
        key: Some(7),
        repeatable: false,
        sent_us: SECOND_US,
        end_us: SECOND_US + 2_000,
        status: Some(status),
        own: true,
    }
}

fn run(id: &str, target: &str, fence: u64) -> Run {
    Run {
        id: id.to_owned(),
        at_us: SECOND_US + 1_000,
        target: target.to_owned(),
        zone: "south-b".to_owned(),
        key: Some(7),
        fence: Some(fence),
        tenants: vec!["guest".to_owned()],
    }
}

/// What was seen where every promise was kept.
fn kept() -> Evidence {
    Evidence {
        answers: vec![answer("a", 200), answer("b", 200), answer("refused", 503)],
        runs: vec![run("a", "one", 3), run("b", "two", 4)],
        emptied: vec![Emptied {
            place: Place::Zone("north-a".to_owned()),
            from_us: 0,
            until_us: 2 * SECOND_US,
        }],
        quotas: vec![QuotaBound {
            tenant: "guest".to_owned(),
            rate_per_s: 1.0,
            burst: 1.0,
            window_s: 1.0,
            over: 0.0,
            slack: 0.0,
        }],
        steps: vec![Step {
            name: "calm".to_owned(),
            from_us: 0,
            until_us: 2 * SECOND_US,
        }],
        unfinished: None,
    }
}

/// The demonstration's verdict on what was recorded.
fn judged(name: &str, evidence: &Evidence) -> Output {
    let file = format!("wingspar-recorded-{}-{name}.json", std::process::id());
    let file = std::env::temp_dir().join(file);
    fs::write(&file, serde_json::to_string(evidence).unwrap()).unwrap();
    let output = demo().arg("--check").arg(&file).output().unwrap();
    fs::remove_file(&file).unwrap();
    output
}

fn assert_broken(name: &str, promise: &str, evidence: &Evidence) {
    let output = judged(name, evidence);
    let text = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert!(text.contains(promise) && text.contains("BROKEN"), "{text}");
    assert!(text.contains("broken promises: 1"), "{text}");
}

#[test]
fn a_recording_without_violations_ends_with_0() {
    let output = judged("kept", &kept());
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}");
    assert!(text.contains("broken promises: 0") && !text.contains("BROKEN"));
}

#[test]
fn two_owners_of_a_key_end_with_1() {
    let mut one_fence = kept();
    one_fence.runs[1].fence = one_fence.runs[0].fence;
    assert_broken("one-fence", "one owner a key", &one_fence);
    let mut earlier_fence = kept();
    earlier_fence.runs[1].fence = Some(2);
    assert_broken("earlier-fence", "one owner a key", &earlier_fence);
}

#[test]
fn a_second_run_of_work_that_is_not_repeatable_ends_with_1() {
    let mut twice = kept();
    twice.quotas.clear();
    twice.runs.push(run("b", "two", 4));
    assert_broken("twice", "at most once", &twice);
}

#[test]
fn work_that_ran_and_was_told_not_run_ends_with_1() {
    let mut untrue = kept();
    untrue.answers[0].status = Some(503);
    assert_broken("untrue", "\"not run\" is true", &untrue);
}

#[test]
fn an_answer_that_is_not_the_requests_own_ends_with_1() {
    let mut foreign = kept();
    foreign.answers[0].own = false;
    assert_broken("foreign", "whole own answers", &foreign);
    let mut never_ran = kept();
    never_ran.answers[2].status = Some(200);
    assert_broken("never-ran", "whole own answers", &never_ran);
}

#[test]
fn more_than_a_quota_within_its_window_ends_with_1() {
    let mut over = kept();
    over.answers.push(answer("c", 200));
    over.runs.push(run("c", "two", 4));
    assert_broken("over", "quota over all nodes", &over);
    over.runs[2].at_us += SECOND_US;
    assert!(judged("later", &over).status.success());
}

#[test]
fn work_in_an_emptied_place_ends_with_1() {
    let mut zone = kept();
    zone.runs[0].zone = "north-a".to_owned();
    assert_broken("zone", "nothing where it is emptied", &zone);
    let mut target = kept();
    target.emptied[0].place = Place::Target("one".to_owned());
    assert_broken("target", "nothing where it is emptied", &target);
}

#[test]
fn a_step_that_does_not_come_to_its_end_ends_with_1() {
    let mut unfinished = kept();
    unfinished.unfinished = Some("another node leads".to_owned());
    let output = judged("unfinished", &unfinished);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stdout).contains("another node leads"));
}
