//! The sidecar as real processes on loopback, against stand-ins of the users' platform.

mod announced_leaving;
mod closing_connections;
mod configuration;
mod crashing_answer;
mod crashing_caller;
mod crashing_request;
mod cut_answers;
mod deployment;
mod endless_answers;
mod evacuations;
mod full_target;
mod heartbeats_of_others;
mod idle_connections;
mod intercepted;
mod invalid_statuses;
mod kept_connection;
mod key_heartbeats;
mod late_requests;
mod losses;
mod machine;
mod named_limit;
mod network;
mod ownership;
mod pipelined_client;
mod pipelining;
mod planned_stops;
mod processes;
mod quota_bound;
mod quota_failures;
mod quotas;
mod raw_client;
mod regions;
mod registrations;
mod requests;
mod restarted_targets;
mod resting;
mod restored_store;
mod soak;
mod stale_configuration;
mod steady_load;
mod stop_soak;
mod target_heartbeats;
mod tenants;
mod unreadable_entries;
mod uploads;

#[test]
fn wrong_settings_are_told_and_end_with_their_own_code() {
    let folder =
        std::env::temp_dir().join(format!("wingspar-sidecar-settings-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join("node.toml");
    std::fs::write(&file, "[node]\nname = 5\n").expect("a file");
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_wingspar"))
        .args(["sidecar", "--settings"])
        .arg(&file)
        .output()
        .expect("it starts");
    assert_eq!(output.status.code(), Some(3));
    assert!(String::from_utf8_lossy(&output.stderr).contains("settings are wrong"));
}
