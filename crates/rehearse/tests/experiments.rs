//! The committed experiments, and what is said of wrong ones.

use std::path::PathBuf;

use wingspar_rehearse::experiment::Experiment;

fn committed(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("experiments")
        .join(name)
}

#[test]
fn committed_experiments_make_sense() {
    for name in ["demo.toml", "tegid.toml", "caroni.toml"] {
        let experiment = Experiment::load(&committed(name));
        let experiment = experiment.unwrap_or_else(|error| panic!("{error}"));
        assert_eq!(format!("{}.toml", experiment.name), name);
    }
}

#[test]
fn every_mistake_of_a_wrong_experiment_is_told() {
    let text = std::fs::read_to_string(committed("demo.toml")).unwrap();
    let mut experiment = Experiment::parse(&text).unwrap();
    experiment.duration_s = 5.0;
    experiment.traffic[0].keys = 0;
    experiment.traffic[1].rate = -1.0;
    let mistakes = experiment.mistakes();
    assert!(mistakes.iter().any(|one| one.contains("needs keys")));
    assert!(mistakes.iter().any(|one| one.contains("rate must be")));
    assert!(
        mistakes
            .iter()
            .any(|one| one.contains("outside the duration"))
    );
    let unknown = text.replace("store_down", "store_up");
    assert!(Experiment::parse(&unknown).is_err());
}
