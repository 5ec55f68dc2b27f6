//! Settings files, good and bad.

use quickcheck::{QuickCheck, TestResult};
use wingspar_settings::{LogLevel, OVERRIDE_FLAGS, Overrides, Place, Timing, check, check_with};

const EXAMPLE: &str = include_str!("../../../docs/examples/node.toml");

const SMALL: &str = r#"
control_address = "10.0.0.1:7400"
seeds = ["10.0.0.2:7400"]
[machine]
name = "till-01"
region = "cymru-de"
zone = "neuadd-a"
[router]
listen = "0.0.0.0:80"
"#;

fn fields(text: &str) -> Vec<String> {
    let mistakes = check(text).expect_err("the file has mistakes");
    mistakes.into_iter().map(|mistake| mistake.field).collect()
}

fn with_timing(timing: &str) -> String {
    format!("{SMALL}[timing]\n{timing}\n")
}

#[test]
fn the_annotated_example_is_valid_and_shows_the_defaults() {
    let settings = check(EXAMPLE).unwrap();
    assert_eq!(settings.timing, Timing::default());
    assert_eq!(settings.telemetry.log_level, LogLevel::default());
    assert_eq!(settings.control.as_ref().unwrap().replicas, 3);
    let machine = settings.as_machine();
    assert_eq!(
        machine.agent_address,
        Some("127.0.0.1:8081".parse().unwrap())
    );
}

#[test]
fn a_small_file_takes_defaults() {
    let settings = check(SMALL).unwrap();
    assert_eq!(settings.timing, Timing::default());
    assert!(settings.agent.is_none() && settings.control.is_none());
    assert_eq!(settings.telemetry.listen, None);
}

#[test]
fn five_mistakes_are_reported_as_five_with_line_field_value_and_allowed() {
    let text = r#"control_address = "10.0.0.1"
seeds = ["10.0.0.2:7400"]
[machine]
name = "till-01"
region = "Cymru De"
zone = "neuadd-a"
color = "red"
[router]
listen = 8080
[timing]
lease_ms = 0
"#;
    let mistakes = check(text).unwrap_err();
    let seen = mistakes.iter().map(|mistake| {
        let line = mistake.line().unwrap();
        (line, mistake.field.as_str(), mistake.given.as_str())
    });
    let expected = [
        (1, "control_address", "\"10.0.0.1\""),
        (5, "machine.region", "\"Cymru De\""),
        (7, "machine.color", "\"red\""),
        (9, "router.listen", "8080"),
        (11, "timing.lease_ms", "0"),
    ];
    assert_eq!(seen.collect::<Vec<_>>(), expected);
    let allowed = &mistakes[4].allowed;
    assert_eq!(allowed, "a whole number from 1 to 60000");
    let line = mistakes[2].to_string();
    assert_eq!(
        line,
        "line 7: machine.color: given \"red\"; allowed: one of the fields name, region, zone"
    );
}

#[test]
fn unknown_sections_and_root_fields_are_mistakes() {
    let text = format!("speed = 3\n{SMALL}[ruoter]\nlisten = \"1.2.3.4:5\"\n");
    assert_eq!(fields(&text), ["speed", "ruoter"]);
}

#[test]
fn an_empty_file_lacks_its_required_fields_and_parts() {
    let expected = [
        "control_address",
        "machine.name",
        "machine.region",
        "machine.zone",
        "parts",
    ];
    assert_eq!(fields(""), expected);
}

#[test]
fn parts_need_what_they_stand_on() {
    let no_seeds = SMALL.replace("[\"10.0.0.2:7400\"]", "[]");
    assert_eq!(fields(&no_seeds), ["seeds"]);
    let control = "[control]\noperator_listen = \"10.0.0.1:7401\"\n";
    assert_eq!(fields(&format!("{SMALL}{control}")), ["platform.url"]);
    let alone = no_seeds.replace("[router]\nlisten = \"0.0.0.0:80\"", "");
    let alone = format!("{alone}{control}replicas = 1\n[platform]\nurl = \"http://10.0.0.9:80/\"");
    let settings = check(&alone).unwrap();
    assert_eq!(settings.platform.unwrap().url, "http://10.0.0.9:80");
    for wrong in [
        "http://p:80",
        "http://10.0.0.9",
        "http://10.0.0.9:80/v1",
        "https://10.0.0.9:80",
    ] {
        let named = alone.replace("http://10.0.0.9:80/", wrong);
        assert_eq!(fields(&named), ["platform.url"], "{wrong}");
    }
    let even = alone.replace("replicas = 1", "replicas = 2");
    assert_eq!(fields(&even), ["control.replicas"]);
}

#[test]
fn listeners_must_not_collide_but_port_zero_may_repeat() {
    let same = format!("{SMALL}[telemetry]\nlisten = \"10.0.0.1:80\"\n");
    assert_eq!(fields(&same), ["telemetry.listen"]);
    let free = SMALL.replace("0.0.0.0:80", "10.0.0.1:0");
    check(&format!("{free}[telemetry]\nlisten = \"10.0.0.1:0\"\n")).unwrap();
}

#[test]
fn announced_addresses_must_name_one_interface() {
    let text = SMALL.replace("10.0.0.1:7400", "0.0.0.0:7400");
    let text = text.replace("10.0.0.2:7400", "10.0.0.2:0");
    let text = format!("{text}[agent]\nlisten = \"[::]:81\"\n");
    assert_eq!(fields(&text), ["control_address", "seeds", "agent.listen"]);
}

#[test]
fn time_bounds_are_checked_together() {
    let lease = ["timing.lease_ms"];
    assert_eq!(fields(&with_timing("lease_ms = 900")), lease);
    check(&with_timing("lease_ms = 901")).unwrap();
    assert_eq!(fields(&with_timing("lease_ms = 1601")), lease);
    check(&with_timing("lease_ms = 1600")).unwrap();
    assert_eq!(
        fields(&with_timing("heartbeat_ms = 201")),
        ["timing.election_min_ms"]
    );
    assert_eq!(
        fields(&with_timing("election_max_ms = 600")),
        ["timing.election_max_ms"]
    );
}

#[test]
fn flags_replace_addresses_and_zones_and_switch_parts_on() {
    let mut overrides = Overrides::default();
    for (flag, value) in [
        ("--zone", "neuadd-b"),
        ("--seeds", "10.0.0.3:1, 10.0.0.4:1"),
        ("--agent-listen", "10.0.0.1:81"),
    ] {
        let known = OVERRIDE_FLAGS.iter().find(|one| one.flag == flag).unwrap();
        overrides.set(known, value.to_owned());
    }
    let settings = check_with(SMALL, &overrides).unwrap();
    assert_eq!(settings.machine.zone.as_str(), "neuadd-b");
    assert_eq!(settings.seeds.len(), 2);
    assert!(settings.agent.is_some());

    overrides.set(&OVERRIDE_FLAGS[2], "Neuadd B".to_owned());
    let mistakes = check_with(SMALL, &overrides).unwrap_err();
    assert_eq!(mistakes[0].place, Place::Flag("--zone".to_owned()));
}

#[test]
fn every_flag_names_a_field_that_is_read() {
    for flag in OVERRIDE_FLAGS {
        let mut overrides = Overrides::default();
        overrides.set(flag, "\n".to_owned());
        let mistakes = check_with(EXAMPLE, &overrides).unwrap_err();
        let place = Place::Flag(flag.flag.to_owned());
        let found = mistakes.iter().find(|mistake| mistake.place == place);
        assert_eq!(found.unwrap().field, flag.field);
    }
}

#[test]
fn faults_of_syntax_come_with_their_line() {
    let mistakes = check("\ncontrol_address = = 3\n[machine\n").unwrap_err();
    let syntax = mistakes.iter().filter(|mistake| mistake.field == "syntax");
    let lines = syntax.filter_map(|mistake| mistake.line());
    assert!(lines.eq([2, 3]), "{mistakes:?}");
}

#[test]
fn random_text_never_panics() {
    fn property(text: String) -> bool {
        check(&text).is_err()
    }
    QuickCheck::new().quickcheck(property as fn(String) -> bool);
}

#[test]
fn a_damaged_example_never_panics() {
    fn property(position: usize, length: u8, replacement: String) -> TestResult {
        let start = position % EXAMPLE.len();
        let end = (start + usize::from(length)).min(EXAMPLE.len());
        if !EXAMPLE.is_char_boundary(start) || !EXAMPLE.is_char_boundary(end) {
            return TestResult::discard();
        }
        let damaged = format!("{}{replacement}{}", &EXAMPLE[..start], &EXAMPLE[end..]);
        if let Err(mistakes) = check(&damaged) {
            return TestResult::from_bool(!mistakes.is_empty());
        }
        TestResult::passed()
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(property as fn(usize, u8, String) -> TestResult);
}

#[test]
fn a_second_control_group_is_refused() {
    let control = "[control]\noperator_listen = \"10.0.0.1:7401\"\ngroup = 1\n";
    let text = format!("{SMALL}{control}[platform]\nurl = \"http://10.0.0.9:80\"\n");
    assert_eq!(fields(&text), ["control.group"]);
}
