//! Causes of recorded requests.

use wingspar_explain::{Cause, Line, Story};

const FULL: &str = r#"
sidecar-d-4 {"at_ms":13803,"node":"sidecar-d-4","event":"refused","id":"9f82","reason":"full","running":18,"waiting":1,"lease_left_ms":1998,"epoch":2}
sidecar-a-2 {"at_ms":35831,"node":"sidecar-a-2","event":"request","id":"9f82","service":"w","configuration":79,"tried":"sidecar-d-4","sends":0,"outcome":"full","took_ms":63,"detail":"full"}
sidecar-a-2 {"at_ms":35832,"node":"sidecar-a-2","event":"request","id":"other","service":"w","tried":"sidecar-d-4","sends":0,"outcome":"no_route","detail":""}
not a line
"#;

const TARGET_LOST: &str = r#"
{"at_ms":11231,"node":"h-4","event":"lost","dependency":"store","detail":"no_answer"}
{"at_ms":11900,"node":"s-1","event":"lost","dependency":"target","detail":"no connection"}
{"at_ms":12000,"node":"s-1","event":"refused","id":"13af","reason":"may_have_run","running":3,"waiting":0}
{"at_ms":11960,"node":"h-2","event":"request","id":"13af","tried":"s-1","sends":1,"outcome":"no_answer_in_time","took_ms":1196,"detail":"no answer in time"}
"#;

const STOPPING: &str = r#"
{"at_ms":29000,"node":"b-2","event":"stopping","signal":"SIGTERM"}
{"at_ms":30510,"node":"b-2","event":"refused","id":"33a0","reason":"leaving","running":0,"waiting":0}
{"at_ms":70510,"node":"a-2","event":"request","id":"33a0","tried":"b-2","sends":0,"outcome":"no_target","took_ms":21,"detail":"leaving"}
"#;

fn story(id: &str, text: &str) -> Story {
    let lines = text.lines().filter_map(Line::parse).collect::<Vec<_>>();
    Story::of(id, &lines)
}

#[test]
fn a_full_target_is_named() {
    let expected = Cause::Full {
        node: "sidecar-d-4".to_owned(),
        running: 18,
        waiting: 1,
    };
    assert_eq!(Cause::of(&story("9f82", FULL)), expected);
}

#[test]
fn a_target_that_was_lost_shortly_before_is_the_cause_and_the_store_is_not() {
    let story = story("13af", TARGET_LOST);
    let expected = Cause::TargetLost {
        node: "s-1".to_owned(),
    };
    assert_eq!(Cause::of(&story), expected);
    let told = story.to_string();
    assert!(told.contains("no connection"), "{told}");
    assert!(!told.contains("no_answer\""), "another node's line: {told}");
}

#[test]
fn a_planned_stop_is_the_cause_whatever_the_nodes_clocks_say() {
    let expected = Cause::Stopping {
        node: "b-2".to_owned(),
    };
    assert_eq!(Cause::of(&story("33a0", STOPPING)), expected);
}

#[test]
fn what_the_first_node_decides_alone_is_explained_in_words() {
    for (outcome, word) in [
        ("unauthorized", "credential"),
        ("over_quota", "quota"),
        ("no_route", "route"),
        ("no_owner", "own its key"),
        ("no_target", "takes work"),
        ("quarantined", "ended"),
    ] {
        let line = format!(
            r#"{{"at_ms":1,"node":"n","event":"request","id":"x","tried":"","sends":0,"outcome":"{outcome}","detail":""}}"#
        );
        let told = story("x", &line).to_string();
        assert!(
            told.contains(word) && told.contains("has not run"),
            "{told}"
        );
    }
}

#[test]
fn a_request_that_was_sent_again_tells_why() {
    let line = r#"{"at_ms":1,"node":"n","event":"request","id":"x","tried":"m","sends":2,"outcome":"answered","detail":"the node lost the answer"}"#;
    let expected = Cause::SentAgain {
        sends: 2,
        detail: "the node lost the answer".to_owned(),
    };
    assert_eq!(Cause::of(&story("x", line)), expected);
}

#[test]
fn a_node_that_answered_is_not_told_to_have_lost_its_target() {
    let line = r#"{"at_ms":1,"node":"n","event":"request","id":"x","tried":"answers","sends":2,"outcome":"answered","detail":"the target ended"}"#;
    let expected = Cause::SentAgain {
        sends: 2,
        detail: "the target ended".to_owned(),
    };
    assert_eq!(Cause::of(&story("x", line)), expected);
}

#[test]
fn a_request_that_another_region_answered_at_once_has_not_failed_before() {
    let line = r#"{"at_ms":1,"node":"n","event":"request","id":"x","tried":"far","sends":1,"outcome":"answered","detail":""}"#;
    let told = story("x", line).to_string();
    assert!(told.contains("far, in another region"), "{told}");
    assert!(!told.contains("failed"), "{told}");
}

#[test]
fn what_an_earlier_process_of_the_node_wrote_is_not_shortly_before() {
    let lines = r#"
{"at_ms":20000,"node":"b-2","event":"stopping","signal":"SIGTERM"}
{"at_ms":3,"node":"b-2","event":"started","service":"w"}
{"at_ms":21000,"node":"b-2","event":"refused","id":"x","reason":"full","running":8,"waiting":2}
{"at_ms":90000,"node":"a-2","event":"request","id":"x","tried":"b-2","sends":0,"outcome":"full","detail":"full"}
"#;
    let expected = Cause::Full {
        node: "b-2".to_owned(),
        running: 8,
        waiting: 2,
    };
    assert_eq!(Cause::of(&story("x", lines)), expected);
}

#[test]
fn a_request_without_lines_is_no_story() {
    assert!(story("nobody", FULL).is_empty());
    assert_eq!(Cause::of(&story("nobody", FULL)), Cause::NotLogged);
}
