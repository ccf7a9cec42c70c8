use super::*;

#[test]
fn shrinking_removes_what_is_not_needed() {
    let e =
        (0..).map(|s| experiment(s).unwrap()).find(|e| e.injury.len() > 2 && e.trouble.len() > 2).unwrap();
    let (injury, trouble) = (format!("{:?}", e.injury[1]), format!("{:?}", e.trouble[2]));
    let has = |e: &Experiment| {
        e.injury.iter().any(|i| format!("{i:?}") == injury)
            && e.trouble.iter().any(|t| format!("{t:?}") == trouble)
    };
    let smallest = shrink(e, |e| Ok(has(e))).unwrap();
    assert!((smallest.injury.len(), smallest.trouble.len()) == (1, 1) && has(&smallest));
}
