//! A proxy in front of a fleet, for benchmarks.

use lotusdeck_policy::*;

/// Builds an entry of the list.
pub(crate) fn list_entry(id: u32) -> Backend {
    Backend {
        id: BackendId(id),
        order_key: u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20,
        kind: KindId(id % 3),
        state: BackendState::Ready,
        ..Backend::default()
    }
}

/// One proxy of three, warmed up, with a third of a request in flight for each backend.
pub(crate) struct Bench {
    balancer: Balancer,
    pub now: Time,
    next: u64,
    in_flight: std::collections::VecDeque<(RequestId, Time)>,
    actions: Vec<Action>,
}

impl Bench {
    /// Creates a proxy and warms it up.
    pub(crate) fn new(size: u32) -> Bench {
        let config = Config { proxy_count: 3, ..Config::example() };
        let balancer = Balancer::new(config, 7).expect("a valid configuration");
        let now = Time(1_000_000_000);
        let mut b = Bench { balancer, now, next: 0, in_flight: Default::default(), actions: Vec::new() };
        let backends = (0..size).map(list_entry).collect();
        b.handle(Event::EndpointsUpdated { update: ListUpdate::Full, backends });
        (0..size / 3 + 1).for_each(|_| b.submit());
        (0..size * 2).for_each(|_| b.serve_and_submit());
        b
    }

    /// Passes an event to the balancer.
    pub(crate) fn handle(&mut self, event: Event) {
        self.actions.clear();
        self.balancer.handle(self.now, event, &mut self.actions);
        // A request that had to wait may be dispatched at any event.
        for action in &self.actions {
            if let Action::Dispatch { request, .. } = action {
                self.in_flight.push_back((*request, self.now));
            }
        }
    }

    fn submit(&mut self) {
        self.next += 1;
        let request = RequestId(self.next);
        let (class, time_left) = (ClassId(0), Micros(5_000_000));
        let (tenant, work_hint, repeat, uploading) = (None, None, false, false);
        let arrival = Arrival {
            request,
            class,
            tenant,
            time_left,
            work_hint,
            is_client_retry: repeat,
            body_incomplete: uploading,
        };
        self.handle(Event::Request(arrival));
    }

    /// Answers the oldest request and submits another one.
    pub(crate) fn serve_and_submit(&mut self) {
        self.now = self.now + Micros(30);
        if let Some((request, sent)) = self.in_flight.pop_front() {
            let (attempt, outcome, latency) = (AttemptNo(0), Outcome::Success, self.now - sent);
            let end = AttemptEnd {
                request,
                attempt,
                outcome,
                latency,
                request_answered: true,
                body_consumed: false,
            };
            self.handle(Event::AttemptEnded(end));
        }
        self.submit();
    }
}

/// Builds the n-th change of one list entry: backends drain and become ready again in turn.
pub(crate) fn change(n: u32, size: u32) -> Event {
    let state = if n.is_multiple_of(2) { BackendState::Ready } else { BackendState::Draining };
    let backends = vec![Backend { state, ..list_entry(n / 2 % size) }];
    Event::EndpointsUpdated { update: ListUpdate::Changes, backends }
}
