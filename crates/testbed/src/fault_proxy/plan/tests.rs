use super::*;

fn script(seed: u64, more: &str) -> Script {
    let text = format!(
        "seed = {seed}\n[[route]]\nname = \"a\"\nlisten = \"127.0.0.1:0\"\nto = \"127.0.0.1:9\"\n\
             [[route.fault]]\nway = \"down\"\npart = 0.3\nafter_bytes = 10\nuntil_bytes = 99\ndo = \"reset\"\n{more}"
    );
    Script::read(&text, "s").expect("a script")
}

#[test]
fn a_connections_faults_depend_on_seed_route_and_number_alone() {
    let one = script(7, "");
    let more = script(7, "[[route.fault]]\nway = \"up\"\npart = 0.5\nafter_ms = 3\ndo = \"hang\"\n");
    let mut count = 0;
    for n in 0..1000 {
        let (a, b) = (draw(&one, 0, n), draw(&more, 0, n));
        assert_eq!(a, b.into_iter().filter(|d| d.index == 0).collect::<Vec<_>>(), "connection {n}");
        for due in &a {
            assert!(matches!(due.when, When::Byte(10..=99)), "{due:?}");
        }
        count += a.len();
    }
    assert!((250..350).contains(&count), "three in ten of 1,000: {count}");
    assert_eq!(hash(&one, 50), hash(&script(7, ""), 50));
    assert_ne!(hash(&one, 50), hash(&script(8, ""), 50));
}
