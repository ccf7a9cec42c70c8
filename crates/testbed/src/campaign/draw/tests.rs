use super::*;

/// Each drawn experiment is valid, depends only on its seed, and is unchanged after it is saved and read, as
/// experiments that break a rule are saved.
#[test]
fn every_script_is_valid_and_can_be_saved() {
    for seed in 0..300 {
        let e = experiment(seed).unwrap();
        let text = toml::to_string(&e).unwrap();
        let back = Experiment::parse("saved", &text).unwrap_or_else(|e| panic!("seed {seed}: {e}\n{text}"));
        assert_eq!(text, toml::to_string(&back).unwrap());
        assert_eq!(text, toml::to_string(&experiment(seed).unwrap()).unwrap());
    }
}
