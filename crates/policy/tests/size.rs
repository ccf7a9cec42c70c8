//! The operators review the decision module in an hour: its size is bounded.

const FILES: [(&str, &str); 2] =
    [("rules.rs", include_str!("../src/rules.rs")), ("state.rs", include_str!("../src/state.rs"))];

#[test]
fn the_decision_module_stays_reviewable() {
    let lines = |text: &str| text.lines().filter(|l| !l.trim().is_empty()).count();
    let all: usize = FILES.iter().map(|(_, text)| lines(text)).sum();
    assert!((100..=1200).contains(&all), "{all} lines");
    for (name, text) in FILES {
        for (number, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= 110, "{name}: line {} is too wide", number + 1);
        }
    }
    assert!(
        FILES[0].1.lines().take(3).any(|l| l.contains("src/interface.rs")),
        "the interface is named first"
    );
}

/// The deployment names the very files that this test counts.
#[test]
fn the_deployment_names_the_files_that_decide() {
    let deploy = include_str!("../../../deploy/balancer.toml");
    let policy = deploy.lines().find(|l| l.starts_with("policy")).expect("a policy line");
    for (name, _) in FILES {
        assert!(policy.contains(&format!("crates/policy/src/{name}")), "{name}");
    }
}
