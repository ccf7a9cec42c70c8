//! Checks of the values of an experiment.

use super::format::{Class, Experiment, Kind, Trouble, TroubleKind};

/// Largest size of an answer or a body, bytes: a run holds thousands of them at a time.
const MAX_BYTES: usize = 65_536;
/// Largest interval and delay of the proxies' load reports, ms: most runs end within a minute.
const MAX_TALK_MS: f64 = 60_000.0;
/// Largest exponent by which a proxy's traffic falls with its number: at 8 the second proxy gets less than a
/// hundredth of the first's.
const MAX_SKEW: f64 = 8.0;

/// An invalid value.
pub(super) struct FieldFault {
    /// Key of the value, with tables and positions.
    pub key: String,
    /// What was expected.
    pub expected: &'static str,
}

/// Returns the first invalid value, in the order of the checks below.
pub(super) fn first_fault(experiment: &Experiment) -> Option<FieldFault> {
    let classes =
        || experiment.class.iter().enumerate().find_map(|(n, class)| check_class(experiment, n, class));
    let kinds = || experiment.kind.iter().enumerate().find_map(|(n, kind)| check_kind(n, kind));
    let troubles = || {
        experiment.trouble.iter().enumerate().find_map(|(n, trouble)| check_trouble(experiment, n, trouble))
    };
    check_whole(experiment)
        .or_else(|| check_load(experiment))
        .or_else(classes)
        .or_else(kinds)
        .or_else(troubles)
}

/// Checks the keys that apply to the whole run.
fn check_whole(experiment: &Experiment) -> Option<FieldFault> {
    let (clients, talk) = (&experiment.clients, &experiment.talk);
    let in_range = |ms: f64| (0.0..=MAX_TALK_MS).contains(&ms);
    first([
        above_zero("duration_s", experiment.duration_s),
        one_or_more("proxies", experiment.proxies),
        one_or_more("class", experiment.class.len()),
        one_or_more("kind", experiment.kind.len()),
        one_or_more("zones", experiment.zones.len()),
        experiment.told_proxies.and_then(|count| one_or_more("told_proxies", count)),
        one_or_more("clients.tries", clients.tries as usize),
        fault_if(!(0.0..=MAX_SKEW).contains(&clients.skew), "clients.skew", "from 0 to 8"),
        fault_if(
            !in_range(talk.every_ms) || !in_range(talk.lag_ms),
            "talk",
            "every_ms and lag_ms from 0 to 60000",
        ),
        zero_to_one("rules.cold_from", experiment.rules.cold_from),
        zero_to_one("clients.impatient", clients.impatient),
    ])
}

/// Checks `[load]`.
fn check_load(experiment: &Experiment) -> Option<FieldFault> {
    match (experiment.load.part, experiment.load.rps) {
        (Some(load), None) | (None, Some(load)) => above_zero("load", load),
        _ => fault_if(true, "load", "either part or rps"),
    }
}

/// Checks the `[[class]]` at a position.
fn check_class(experiment: &Experiment, position: usize, class: &Class) -> Option<FieldFault> {
    let key = |name: &str| format!("class[{position}].{name}");
    let duplicate = experiment.class[..position].iter().any(|before| before.name == class.name);
    let in_alphabet = class.name.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'-');
    let largest = class.answer_bytes.max(class.body_bytes);
    first([
        above_zero(key("work_ms"), class.work_ms),
        above_zero(key("share"), class.share),
        above_zero(key("aim_ms"), class.aim_ms),
        fault_if(class.deadline_ms < class.aim_ms, key("deadline_ms"), "no less than aim_ms"),
        fault_if(duplicate, key("name"), "a name of its own"),
        fault_if(class.name.is_empty() || !in_alphabet, key("name"), "letters, digits and hyphens"),
        fault_if(largest > MAX_BYTES, key("answer_bytes"), "65536 at most"),
    ])
}

/// Checks the `[[kind]]` at a position.
fn check_kind(position: usize, kind: &Kind) -> Option<FieldFault> {
    let key = |name: &str| format!("kind[{position}].{name}");
    first([
        above_zero(key("cores"), kind.cores),
        above_zero(key("speed"), kind.speed),
        one_or_more(key("count"), kind.count),
        one_or_more(key("slots"), kind.slots),
        zero_to_one(key("drag"), kind.drag),
    ])
}

/// Checks the `[[trouble]]` at a position.
fn check_trouble(experiment: &Experiment, position: usize, trouble: &Trouble) -> Option<FieldFault> {
    let key = |name: &str| format!("trouble[{position}].{name}");
    let is_kind = |name: &String| experiment.kind.iter().any(|kind| kind.name == *name);
    let is_zone = |name: &String| experiment.zones.contains(name);
    let is_proxy = |number: usize| number < experiment.proxies;
    let needs_proxy =
        matches!(trouble.what, TroubleKind::KillProxy | TroubleKind::RestartProxy | TroubleKind::Reload);
    let needs_factor =
        matches!(trouble.what, TroubleKind::Slow | TroubleKind::SharedSlow | TroubleKind::DiscoveryLag);
    first([
        fault_if(!trouble.kind.as_ref().is_none_or(is_kind), key("kind"), "the name of a kind"),
        fault_if(!trouble.zone.as_ref().is_none_or(is_zone), key("zone"), "one of zones"),
        fault_if(
            needs_proxy && !trouble.proxy.is_some_and(is_proxy),
            key("proxy"),
            "the number of a proxy, from 0",
        ),
        fault_if(needs_factor && trouble.factor.is_none(), key("factor"), "a number"),
        trouble.part.and_then(|fraction| zero_to_one(key("part"), fraction)),
        fault_if(trouble.at_s < 0.0, key("at_s"), "0 or more"),
    ])
}

/// Returns the first of the faults.
fn first(faults: impl IntoIterator<Item = Option<FieldFault>>) -> Option<FieldFault> {
    faults.into_iter().flatten().next()
}

fn fault_if(wrong: bool, key: impl Into<String>, expected: &'static str) -> Option<FieldFault> {
    wrong.then(|| FieldFault { key: key.into(), expected })
}

fn above_zero(key: impl Into<String>, number: f64) -> Option<FieldFault> {
    fault_if(!(number.is_finite() && number > 0.0), key, "a number above 0")
}

fn zero_to_one(key: impl Into<String>, number: f64) -> Option<FieldFault> {
    fault_if(!(0.0..=1.0).contains(&number), key, "a number from 0 to 1")
}

fn one_or_more(key: impl Into<String>, number: usize) -> Option<FieldFault> {
    fault_if(number == 0, key, "1 or more")
}
