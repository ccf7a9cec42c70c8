//! One proxy's share of a limit that holds for the whole fleet, sans-IO.
//!
//! Escrow (O'Neil, TODS 11, 1986; the demarcation protocol of Barbará and Garcia-Molina, VLDB Journal 3, 1994): each of
//! `N` proxies owns an `N`th of the limit and admits by it alone, with nobody asked. What it does not use it lends for a
//! term: the lender stops using it first, the borrower begins after, and takes its end from when it asked, the lender
//! from when it answered (leases, Gray and Cheriton, SOSP 1989). So the shares in use never add up to more than the
//! limit, whichever links fail, and a proxy that is cut off falls back to what it owns and has not lent.
//!
//! A process that has just started does not know what the one before it lent, so it holds back all that may be lent
//! until that has run out. Slots (requests at once) stay with a borrower while its requests last: the lender counts
//! them for a term and the longest request.

use crate::wire::Amount;
use std::collections::BTreeMap;
use std::time::Duration;

/// The part of its own that a proxy lends at most: with the rest it goes on by itself at once, after a start too.
const LENDABLE: f64 = 0.75;
/// A lender's clock may run this much faster than a borrower's: quartz is off by some 100 ppm, a slewed clock by up to
/// 500 ppm (adjtimex); a hundredth is far past both.
const DRIFT: f64 = 1.01;
/// The smallest loan, as a part of what a proxy owns: bounds how many loans there can be.
const LEAST: f64 = 1.0 / 64.0;
/// Lenders that a proxy has at once: each is asked twice a term.
const MOST_LENDERS: usize = 64;
/// Memory of the demand, s: some of the rounds in which it is looked at.
const MEMORY: f64 = 0.5;
/// Own demand is taken to be this much more than seen before anything is lent, and before as much is borrowed: a
/// Poisson stream of ten a second strays by a third of it in half a second, a dense one by less.
const HEADROOM: f64 = 1.2;
/// Members asked for more in one round: the power of two choices.
const ASKS: usize = 2;

/// A limit of the whole fleet and how it is shared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaConfig {
    /// Requests a second, over all proxies.
    pub rate: Option<f64>,
    /// Requests at once, over all proxies.
    pub slots: Option<u32>,
    /// What each share may gather while it is not used, as a span of its rate; one request at least.
    pub burst: Duration,
    /// How long something is lent.
    pub lease_duration: Duration,
    /// No request is open for longer.
    pub max_request_duration: Duration,
    /// Proxies of the fleet.
    pub fleet_size: u32,
    /// Which of them this one is.
    pub proxy_index: u32,
}

impl QuotaConfig {
    /// What this proxy owns. Slots are whole: the first proxies have one more where they do not divide.
    fn home(&self) -> Amount {
        let size = self.fleet_size.max(1);
        let rate = self.rate.unwrap_or(0.0) / f64::from(size);
        let slots = self.slots.unwrap_or(0);
        Amount { rate, slots: slots / size + u32::from(self.proxy_index < slots % size) }
    }

    /// What a proxy lends at most. One slot at least stays, so that a process that has just started serves.
    fn lendable(&self) -> Amount {
        let home = self.home();
        Amount { rate: home.rate * LENDABLE, slots: (f64::from(home.slots) * LENDABLE) as u32 }
    }

    /// What is left of an amount when a rate too small for a loan, or none at all, counts as nothing: on both sides, so
    /// that what the one gives up the other no longer counts.
    fn worth(&self, amount: Amount) -> Amount {
        let enough = amount.rate > 0.0 && amount.rate >= self.home().rate * LEAST;
        Amount { rate: if enough { amount.rate } else { 0.0 }, slots: amount.slots }
    }

    /// How long the lender counts a loan as out.
    fn held(&self) -> Duration {
        let longest = if self.slots.is_some() { self.max_request_duration } else { Duration::ZERO };
        (self.lease_duration + longest).mul_f64(DRIFT)
    }
}

/// Why a request is not admitted: when to come again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaExceeded {
    /// From now.
    pub retry_after: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Loan {
    amount: Amount,
    until: Duration,
}

/// What one generation of a borrower was lent.
struct Borrower {
    /// Its last question: older ones that come late change nothing.
    seq: u64,
    loan: Loan,
}

struct Asked {
    lender: u32,
    at: Duration,
    want: Amount,
}

/// What a quota amounts to at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaAmounts {
    /// What this proxy may use.
    pub usable: Amount,
    /// Of its own, lent to others.
    pub lent: Amount,
    /// Borrowed from others.
    pub borrowed: Amount,
}

/// Requests that a quota has decided on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaCounts {
    /// Admitted and not released.
    pub in_flight: u32,
    /// Admitted since the start.
    pub admitted: u64,
    /// Rejected since the start.
    pub rejected: u64,
}

/// A question to be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseRequest {
    /// Whom to ask.
    pub lender: u32,
    /// Named by the answer.
    pub seq: u64,
    /// How much.
    pub wanted: Amount,
}

/// The share of one proxy.
pub struct Quota {
    terms: QuotaConfig,
    /// By position and generation.
    lent: BTreeMap<(u32, u64), Borrower>,
    /// By lender.
    borrowed: BTreeMap<u32, Loan>,
    asked: BTreeMap<u64, Asked>,
    tokens: f64,
    /// Until when tokens were counted.
    at: Duration,
    used: u32,
    /// Until then it holds back what the process before it may have lent.
    whole_from: Duration,
    /// Another process acts for this proxy too.
    halved: bool,
    /// Requests a second that asked to be admitted.
    demand: f64,
    demand_at: Duration,
    /// Since the last round: the most slots used at once, and requests refused for want of one.
    peak: u32,
    short: u32,
    admitted: u64,
    refused: u64,
}

impl Quota {
    /// Of a process that starts at `now`: with no tokens, as the one before it may have spent them.
    pub fn new(terms: QuotaConfig, now: Duration) -> Quota {
        Quota {
            terms,
            lent: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            asked: BTreeMap::new(),
            tokens: 0.0,
            at: now,
            used: 0,
            whole_from: now + terms.held(),
            halved: false,
            demand: 0.0,
            demand_at: now,
            peak: 0,
            short: 0,
            admitted: 0,
            refused: 0,
        }
    }

    /// What it owns and may use or lend.
    fn own(&self, at: Duration) -> Amount {
        let (home, lendable) = (self.terms.home(), self.terms.lendable());
        let (mut rate, mut slots) = (home.rate, home.slots);
        if at < self.whole_from {
            (rate, slots) = (rate - lendable.rate, slots - lendable.slots);
        }
        if self.halved {
            (rate, slots) = (rate.min(home.rate / 2.0), slots.min(home.slots / 2));
        }
        Amount { rate, slots }
    }

    /// What is lent to others than `but`. Loans that have run out count until [`Quota::advance`] drops them.
    fn lent_to_others(&self, but: Option<(u32, u64)>) -> Amount {
        let others = self.lent.iter().filter(|(key, _)| Some(**key) != but);
        others.fold(Amount::default(), |sum, (_, b)| add(sum, b.loan.amount))
    }

    fn borrowed_at(&self, at: Duration) -> Amount {
        let live = self.borrowed.values().filter(|loan| at < loan.until);
        live.fold(Amount::default(), |sum, loan| add(sum, loan.amount))
    }

    /// What it may use at a moment not before the last that it was told of.
    fn usable(&self, at: Duration) -> Amount {
        let (own, lent) = (self.own(at), self.lent_to_others(None));
        let rest =
            Amount { rate: (own.rate - lent.rate).max(0.0), slots: own.slots.saturating_sub(lent.slots) };
        add(rest, self.borrowed_at(at))
    }

    /// Tokens that a share of that rate gathers at most.
    fn depth(&self, rate: f64) -> f64 {
        if rate > 0.0 {
            (rate * self.terms.burst.as_secs_f64()).max(1.0)
        } else {
            0.0
        }
    }

    /// Counts tokens up to `now`, in spans between which the rate changed.
    fn advance(&mut self, now: Duration) {
        while self.at < now {
            let ends = self.borrowed.values().map(|loan| loan.until).chain([self.whole_from]);
            let to = ends.filter(|at| *at > self.at).fold(now, Duration::min);
            let rate = self.usable(self.at).rate;
            self.tokens = (self.tokens + rate * (to - self.at).as_secs_f64()).min(self.depth(rate));
            self.at = to;
        }
        let now = self.at;
        // A lender counts its loan for longer than the borrower uses it; only after this does it use it again.
        self.lent.retain(|_, b| now < b.loan.until);
        self.borrowed.retain(|_, loan| now < loan.until);
        let rate = self.usable(now).rate;
        self.tokens = self.tokens.min(self.depth(rate));
    }

    /// Whether a request may come in now; nothing is taken yet. What is refused counts as asked for.
    pub fn check_available(&mut self, now: Duration) -> Result<(), QuotaExceeded> {
        self.advance(now);
        let gap = now.saturating_sub(self.demand_at).as_secs_f64();
        self.demand = self.demand * (-gap / MEMORY).exp() + 1.0 / MEMORY;
        self.demand_at = self.demand_at.max(now);
        let usable = self.usable(self.at);
        let refuse = |after: f64| {
            let most = 2.0 * self.terms.lease_duration.as_secs_f64();
            Err(QuotaExceeded { retry_after: Duration::from_secs_f64(after.clamp(0.05, most.max(0.05))) })
        };
        let refused = if self.terms.rate.is_some() && self.tokens < 1.0 {
            refuse((1.0 - self.tokens) / usable.rate.max(1e-9))
        } else if self.terms.slots.is_some() && self.used >= usable.slots {
            self.short = self.short.saturating_add(1);
            refuse(self.terms.lease_duration.as_secs_f64() / 2.0)
        } else {
            Ok(())
        };
        self.refused += u64::from(refused.is_err());
        refused
    }

    /// Takes in a request that [`Quota::check`] has just let in.
    pub fn admit(&mut self) {
        self.tokens -= f64::from(u8::from(self.terms.rate.is_some()));
        self.used += 1;
        self.peak = self.peak.max(self.used);
        self.admitted += 1;
    }

    /// A request that was taken in is over.
    pub fn release(&mut self) {
        self.used = self.used.saturating_sub(1);
    }

    /// Another process acts for this proxy, or does no more.
    pub fn set_halved(&mut self, now: Duration, halved: bool) {
        self.advance(now);
        self.halved = halved;
        let rate = self.usable(self.at).rate;
        self.tokens = self.tokens.min(self.depth(rate));
    }

    /// What another asks for, in place of all that this generation of it was lent: it has given up what is over this.
    /// How much it is lent.
    pub fn grant_lease(&mut self, now: Duration, borrower: (u32, u64), seq: u64, want: Amount) -> Amount {
        self.advance(now);
        let want = self.terms.worth(want);
        if let Some(known) = self.lent.get_mut(&borrower) {
            if seq <= known.seq {
                return Amount::default();
            }
            known.seq = seq;
            known.loan.amount = lesser(known.loan.amount, want);
        }
        // One that gave all up is not remembered: whoever asks under ever new names must not fill the memory.
        self.lent.retain(|_, b| !b.loan.amount.is_zero());
        let before = self.lent.get(&borrower).map_or(Amount::default(), |b| b.loan.amount);
        let spare = self.spare(self.at, borrower);
        // What it had it keeps; of the rest half, so that one that asks for all leaves something to the next.
        let kept = lesser(before, spare);
        let lent = self.terms.worth(Amount {
            rate: want.rate.min(kept.rate + (spare.rate - kept.rate) / 2.0),
            slots: want.slots.min(kept.slots + (spare.slots - kept.slots).div_ceil(2)),
        });
        if lent.is_zero() {
            // What it still uses of the last loan runs out by itself.
            return lent;
        }
        let until = self.at + self.terms.held();
        // Until the answer arrives it goes by the last loan: the greater of both counts.
        let amount = Amount { rate: lent.rate.max(before.rate), slots: lent.slots.max(before.slots) };
        self.lent.insert(borrower, Borrower { seq, loan: Loan { amount, until } });
        let rate = self.usable(self.at).rate;
        self.tokens = self.tokens.min(self.depth(rate));
        lent
    }

    /// What it could lend, with what `borrower` has of it counted as free.
    fn spare(&self, at: Duration, borrower: (u32, u64)) -> Amount {
        if at < self.whole_from || self.halved {
            return Amount::default();
        }
        let (home, lendable) = (self.terms.home(), self.terms.lendable());
        let lent = self.lent_to_others(Some(borrower));
        let need = self.rate_wanted(at);
        let slots = self.slots_wanted();
        Amount {
            rate: (lendable.rate - lent.rate).min(home.rate - lent.rate - need).max(0.0),
            slots: lendable
                .slots
                .saturating_sub(lent.slots)
                .min(home.slots.saturating_sub(lent.slots + slots)),
        }
    }

    fn rate_wanted(&self, at: Duration) -> f64 {
        let gap = at.saturating_sub(self.demand_at).as_secs_f64();
        self.demand * (-gap / MEMORY).exp() * HEADROOM
    }

    fn slots_wanted(&self) -> u32 {
        self.peak.max(self.used).saturating_add(self.short)
    }

    /// A round, some times in a term: what to ask of whom. `pick` draws one of the other members that are there.
    pub fn request_leases(
        &mut self, now: Duration, mut pick: impl FnMut() -> Option<u32>, mut seq: impl FnMut() -> u64,
    ) -> Vec<LeaseRequest> {
        self.advance(now);
        let term = self.terms.lease_duration;
        self.asked.retain(|_, a| now < a.at + term);
        let own = self.own(now);
        let lent = self.lent_to_others(None);
        let mut need = Amount {
            rate: (self.rate_wanted(now) - (own.rate - lent.rate).max(0.0)).max(0.0),
            slots: self.slots_wanted().saturating_sub(own.slots.saturating_sub(lent.slots)),
        };
        let have = self.borrowed_at(now);
        // What is short is asked of two at a time, lenders of before among them when their term is half over.
        let short = Amount { rate: need.rate - have.rate, slots: need.slots.saturating_sub(have.slots) };
        let more =
            Amount { rate: (short.rate / ASKS as f64).max(0.0), slots: short.slots.div_ceil(ASKS as u32) };
        let mut questions = Vec::new();
        for (&lender, loan) in &mut self.borrowed {
            let keep = self.terms.worth(lesser(loan.amount, need));
            need = Amount { rate: need.rate - keep.rate, slots: need.slots - keep.slots };
            let waits = self.asked.values().any(|a| a.lender == lender && now < a.at + term / 4);
            let due = loan.until.saturating_sub(now) < term / 2;
            // Slots that are not needed go back at once: their lender would count them for the longest request.
            if !waits && (due || keep.slots < loan.amount.slots) {
                loan.amount = keep;
                questions.push(LeaseRequest { lender, seq: seq(), wanted: add(keep, more) });
            }
        }
        for _ in 0..ASKS {
            let want = Amount { rate: need.rate / ASKS as f64, slots: need.slots.div_ceil(ASKS as u32) };
            let want = self.terms.worth(want);
            let busy = self.borrowed.len() + questions.len() >= MOST_LENDERS;
            let Some(lender) = pick().filter(|_| !busy && !want.is_zero()) else { break };
            let known = self.borrowed.contains_key(&lender)
                || self.asked.values().any(|a| a.lender == lender)
                || questions.iter().any(|q| q.lender == lender);
            if !known {
                questions.push(LeaseRequest { lender, seq: seq(), wanted: want });
            }
        }
        for q in &questions {
            // A late answer to an older question would bring back what this one gives up.
            self.asked.retain(|_, a| a.lender != q.lender);
            self.asked.insert(q.seq, Asked { lender: q.lender, at: now, want: q.wanted });
        }
        (self.peak, self.short) = (self.used, 0);
        questions
    }

    /// What a lender answered. Its term counts from when it was asked; more than was asked for, or than any proxy may
    /// lend, is not believed.
    pub fn lease_granted(&mut self, now: Duration, lender: u32, seq: u64, lent: Amount) {
        self.advance(now);
        let Some(asked) = self.asked.get(&seq).filter(|a| a.lender == lender) else { return };
        let (until, want) = (asked.at + self.terms.lease_duration, asked.want);
        self.asked.remove(&seq);
        // Those with the most slots own one more than the least: no proxy lends past the first one's part.
        let most = QuotaConfig { proxy_index: 0, ..self.terms }.lendable();
        let sound = lent.rate.is_finite() && lent.rate >= 0.0;
        let amount = lesser(lesser(lent, want), most);
        if sound && self.at < until && !amount.is_zero() {
            self.borrowed.insert(lender, Loan { amount, until });
        }
    }

    /// What it may use, what it lent and what it borrowed, at a moment not before the last that it was told of.
    pub fn amounts(&self, now: Duration) -> QuotaAmounts {
        QuotaAmounts {
            usable: self.usable(now),
            lent: self.lent_to_others(None),
            borrowed: self.borrowed_at(now),
        }
    }

    /// How many requests it admitted and rejected.
    pub fn counts(&self) -> QuotaCounts {
        QuotaCounts { in_flight: self.used, admitted: self.admitted, rejected: self.refused }
    }
}

fn add(a: Amount, b: Amount) -> Amount {
    Amount { rate: a.rate + b.rate, slots: a.slots + b.slots }
}

fn lesser(a: Amount, b: Amount) -> Amount {
    Amount { rate: a.rate.min(b.rate), slots: a.slots.min(b.slots) }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// One that asks, gives up all but a trifle and asks again under the next name leaves nothing behind.
    #[test]
    fn ever_new_names_do_not_fill_the_memory() {
        let second = Duration::from_secs(1);
        let terms = QuotaConfig {
            rate: Some(640.0),
            slots: Some(40),
            burst: second,
            lease_duration: second,
            max_request_duration: 30 * second,
            fleet_size: 10,
            proxy_index: 0,
        };
        let mut share = Quota::new(terms, Duration::ZERO);
        let now = 60 * second;
        let asks = [Amount { rate: 1.0, slots: 0 }, Amount { rate: 0.0, slots: 1 }];
        for name in 0..10_000u64 {
            let lent = share.grant_lease(now, (3, name), 1, asks[name as usize % 2]);
            if name < 2 {
                assert_eq!(lent, asks[name as usize], "it is lent at all");
            }
            share.grant_lease(now, (3, name), 2, Amount { rate: 1e-300, slots: 0 });
            assert!(share.lent.len() <= 1, "{} names remembered", share.lent.len());
        }
        // Those that keep what they are lent: as many as the least loans go into what may be lent.
        for name in 0..10_000u64 {
            share.grant_lease(now, (4, name), 1, Amount { rate: 1e9, slots: 9 });
        }
        assert!(share.lent.len() <= 64 + 4, "{}", share.lent.len());
    }
}
