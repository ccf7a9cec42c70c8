use super::*;

const TEXT: &str = r#"
        name = "t"
        duration_s = 40.0
        [load]
        rps = 100.0
        phase = [{ at_s = 20.0, factor = 2.0 }]
        [[class]]
        name = "read"
        effect = "free"
        share = 1.0
        aim_ms = 100.0
        deadline_ms = 500.0
        work_ms = 5.0
        [[kind]]
        name = "m"
        count = 10
        [[trouble]]
        at_s = 10.0
        what = "kill"
        part = 0.2
        for_s = 5.0
    "#;

#[test]
fn the_same_seed_gives_the_same_plan_and_another_does_not() {
    let e = Experiment::parse("t", TEXT).unwrap();
    let (a, b, c) = (Plan::draw(&e, 7), Plan::draw(&e, 7), Plan::draw(&e, 8));
    assert_eq!((a.hash, &a.arrivals, &a.acts), (b.hash, &b.arrivals, &b.acts));
    assert_ne!(a.hash, c.hash);
    // Without the troubles the arrivals are the same, as each purpose has its own random stream.
    let calm = Experiment::parse("t", TEXT.split("[[trouble]]").next().unwrap()).unwrap();
    let calm = Plan::draw(&calm, 7);
    assert!(calm.arrivals == a.arrivals && calm.hash != a.hash);
}

#[test]
fn arrivals_follow_the_phases_and_troubles_their_order() {
    let plan = Plan::draw(&Experiment::parse("t", TEXT).unwrap(), 3);
    let late = plan.arrivals.iter().filter(|a| a.at.0 >= 20_000_000).count() as f64;
    let early = plan.arrivals.len() as f64 - late;
    assert!((early / 2000.0 - 1.0).abs() < 0.1 && (late / 4000.0 - 1.0).abs() < 0.1, "{early} {late}");
    let names: Vec<&str> = plan
        .acts
        .iter()
        .map(|(_, act)| match act {
            Act::Kill(who) if who.len() == 2 => "kill",
            Act::Remove(_) => "remove",
            Act::Start(_) => "start",
            _ => "other",
        })
        .collect();
    assert_eq!(names, ["kill", "remove", "start"]);
}

#[test]
fn invalid_values_are_reported_by_key() {
    let fault = |text: String| Experiment::parse("f.toml", &text).unwrap_err().to_string();
    let zero = fault(TEXT.replace("work_ms = 5.0", "work_ms = 0.0"));
    assert!(zero.contains("class[0].work_ms: expected a number above 0"), "{zero}");
    let unknown = fault(TEXT.replace("part = 0.2", "prat = 0.2"));
    assert!(unknown.contains("prat") && unknown.contains("line"), "{unknown}");
    let kind = fault(TEXT.replace("part = 0.2", "kind = \"x\""));
    assert!(kind.contains("trouble[0].kind"), "{kind}");
}
