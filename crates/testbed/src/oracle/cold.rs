//! A backend that has just started is not pushed over.

use super::{Broken, Seen};
use crate::record::What;

const NAME: &str = "cold budget kept";
/// Requests of mean work that chance may bring on top.
const SLACK: f64 = 4.0;

pub(super) fn check(seen: &Seen) -> Vec<Broken> {
    let slack = SLACK * seen.plan.experiment.mean_work();
    let over = seen.records.iter().filter_map(|r| match r.what {
        What::Pressure { backend, sent, bears } if sent > bears + slack => {
            let text = format!(
                "backend {backend} was sent {sent:.3} core-s in a window in which it bears {bears:.3}"
            );
            Some(Broken { oracle: NAME, id: None, text })
        }
        _ => None,
    });
    over.collect()
}

#[cfg(test)]
mod tests {
    use super::super::tests::*;
    use crate::record::What;

    #[test]
    fn a_cold_backend_that_is_flooded_is_seen() {
        let pressure = |sent| vec![at(0, What::Pressure { backend: 1, sent, bears: 1.0 })];
        assert!(broken(&pressure(1.01)).is_empty(), "chance");
        assert!(broken(&pressure(1.2))[0].1.contains("backend 1"));
    }
}
