//! The experiments of the repository.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

use lotusdeck_testbed::experiment::Experiment;
use lotusdeck_testbed::world::plan::Plan;
use std::path::Path;

/// Each experiment is valid, has the name of its file, and gives the same plan for the same seed.
#[test]
fn every_experiment_is_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments");
    let mut count = 0;
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let experiment = Experiment::load(&path).unwrap_or_else(|e| panic!("{e}"));
        assert_eq!(path.file_stem().unwrap().to_str().unwrap(), experiment.name);
        let (a, b) = (Plan::draw(&experiment, 5), Plan::draw(&experiment, 5));
        assert_eq!(a.hash, b.hash, "{}", experiment.name);
        assert!(!a.arrivals.is_empty() && !experiment.about.is_empty());
        count += 1;
    }
    assert!(count >= 8, "{count} experiments");
}

/// Keys of an experiment override those of the file that it extends, and errors name the file.
#[test]
fn an_experiment_may_extend_another() {
    let folder = std::env::temp_dir().join(format!("lotusdeck-extends-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let base = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments/first-look.toml");
    std::fs::copy(base, folder.join("base.toml")).unwrap();
    let path = folder.join("own.toml");
    std::fs::write(&path, "extends = \"base.toml\"\nname = \"own\"\nproxies = 1\n").unwrap();
    let own = Experiment::load(&path).unwrap();
    assert!(own.proxies == 1 && own.class.len() == 3);
    std::fs::write(&path, "extends = \"base.toml\"\nproxeis = 1\n").unwrap();
    let fault = Experiment::load(&path).unwrap_err().to_string();
    assert!(fault.contains("proxeis") && fault.contains("own.toml"), "{fault}");
    std::fs::write(&path, "extends = \"own.toml\"\nname = \"own\"\n").unwrap();
    let fault = Experiment::load(&path).unwrap_err().to_string();
    assert!(fault.contains("eight files at most"), "a loop ends: {fault}");
}
