//! The way of one request: read, checked, handed to the core, answered.

use crate::attempt::{Call, HttpWork};
use crate::body::{gather, AnswerBody};
use crate::client::Client;
use crate::fault::Fault;
use crate::request::{check, number, stays_in_class};
use crate::server::Server;
use crate::strip_hop_by_hop;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use lotusdeck_core::{Answer, Host, RequestLabels};
use lotusdeck_policy::*;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::pin::pin;
use std::rc::Rc;

impl Server {
    pub(crate) async fn answer(
        self: &Rc<Self>, client: &Rc<Client>, request: Request<Incoming>,
    ) -> Response<AnswerBody> {
        let mut end = false;
        let mut answer = match request.uri().path() {
            "/-/ready" => plain(StatusCode::OK, "ready\n"),
            _ => self.proxy(client, request).await.unwrap_or_else(|fault| {
                self.faults.set(self.faults.get() + 1);
                end = true; // what comes next on it may be no request at all
                let (status, text) = fault.answer();
                plain(status, text)
            }),
        };
        client.flowing.set(matches!(answer.body(), AnswerBody::Flow(..)));
        // Where many are kept their clients may have none left to ask on: each goes after its answer.
        let most = self.max.get();
        let many = || self.clients.proven() > most / 2 || self.clients.staying() > most;
        if end || self.stopping.get() || many() {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }

    /// So much of that time as there is before the program ends: what is taken is answered by then.
    fn until_end(&self, left: Micros) -> Micros {
        let most = |end: tokio::time::Instant| end.saturating_duration_since(tokio::time::Instant::now());
        self.end.get().map_or(left, |end| left.min(Micros(most(end).as_micros() as u64)))
    }

    /// What is left of a time that began when the last byte that was read was written.
    fn still_left(&self, most: Micros, client: &Client) -> Micros {
        let age = client.stream.time_since_arrival().as_micros() as u64;
        self.until_end(Micros(most.0.saturating_sub(age)))
    }

    async fn proxy(
        self: &Rc<Self>, client: &Client, request: Request<Incoming>,
    ) -> Result<Response<AnswerBody>, Fault> {
        let (head, body) = request.into_parts();
        let rules = self.host.settings(); // this request's own to its end, whatever comes meanwhile
        let class = head.uri.path().split('/').nth(1).and_then(|name| rules.names.class(name));
        let class = class.ok_or(Fault::NoSuchClass)?;
        let tenant = head.headers.get("x-account").and_then(|v| v.to_str().ok());
        let tenant = tenant.and_then(|name| rules.names.tenant(name));
        let _pin = self.host.hold_ids(class, tenant);
        if !stays_in_class(head.uri.path()) {
            return Err(Fault::Path);
        }
        let effect = rules.config.classes[class.0].side_effects;
        let most = rules.network.deadlines[class.0];
        let (name, left, length) = check(&head, &body, client.stream.has_content_length(), effect, most)?;
        let (body, _kept) =
            gather(body, length, &client.stream, &self.budget, self.pool.stall_timeouts.get().upload_stall)
                .await?;
        // The time of a request counts from its last byte; where more is to come it has not begun.
        let most = Micros(left.0.saturating_sub(self.host.reply_margin().0));
        let left = self.still_left(most, client);
        let deadline = Cell::new(self.host.clock.now() + left);
        let mut headers = head.headers;
        let arrival = Arrival {
            request: RequestId(0),
            class,
            tenant,
            time_left: left,
            work_hint: headers.get("x-weight-hint").and_then(number).map(|us| Micros(us as u64)),
            is_client_retry: headers.get("x-repeat").is_some_and(|v| v == "1"),
            body_incomplete: body.flow().is_some(),
        };
        strip_hop_by_hop(&mut headers);
        let origin = head.uri.path_and_query().map(|p| p.as_str().parse());
        let uri = origin.and_then(Result::ok).ok_or(Fault::Target)?;
        let upload = body.flow().cloned();
        let call = Call { method: head.method, uri, headers, body };
        let work = HttpWork::new(self.pool.clone(), call, client.stream.clone());
        let (labelled, label) = (work.clone(), name.clone());
        let labels = move || {
            let path = labelled.path();
            let (class, rest) = path.trim_start_matches('/').split_once('/').unwrap_or((path, ""));
            let key = rest.rsplit('/').next().unwrap_or_default();
            let id = String::from_utf8_lossy(label.as_bytes()).into_owned();
            RequestLabels { id, class: class.into(), key: key.into() }
        };
        let _open = Open::new(&self.ids, name).ok_or(Fault::IdInUse)?;
        client.prove();
        let (id, answer) = self.host.submit(arrival, work.clone(), effect, labels);
        let mut owed = Owed { host: &self.host, id, open: true };
        let mut answer = pin!(answer);
        let due = async {
            if let Some(upload) = &upload {
                upload.over().await?;
                let left = self.still_left(most, client);
                deadline.set(self.host.clock.now() + left);
                self.host.body_received(id, left);
            }
            tokio::time::sleep_until(self.host.clock.instant(deadline.get())).await;
            Ok::<_, Fault>(())
        };
        let answer = tokio::select! {
            biased;
            got = answer.as_mut() => got,
            _ = work.left.notified() => return Err(Fault::Left), // `owed` tells the module
            over = due => {
                over?; // no request after all: `owed` tells the module that nobody waits
                self.host.deadline_expired(id);
                answer.await
            }
        };
        if let Some(fault) = upload.as_ref().and_then(|u| u.fault()) {
            owed.open = false;
            return Err(fault); // whatever became of the attempt that it ended
        }
        upload.iter().filter(|u| !u.whole()).for_each(|u| u.drain());
        owed.open = false;
        Ok(match answer {
            Ok(Answer::Served(attempt)) => match work.fetch(attempt) {
                Some(served) => {
                    let mut response = Response::new(served.body);
                    *response.headers_mut() = served.headers;
                    response
                }
                None => plain(StatusCode::BAD_GATEWAY, "failed\n"),
            },
            Ok(Answer::Rejected(retry_after)) => {
                let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused\n");
                let advice = rules.network.max_retry_after.map(|most| retry_after.min(most).secs());
                if let Some(Ok(text)) = advice.map(|after| format!("{after:.3}").parse()) {
                    response.headers_mut().insert(RETRY_AFTER, text);
                }
                response
            }
            Ok(Answer::Failed) => plain(StatusCode::BAD_GATEWAY, "failed\n"),
            Ok(Answer::TimedOut) | Err(_) => plain(StatusCode::GATEWAY_TIMEOUT, "timed out\n"),
        })
    }
}

/// Marks the end of an answer: its connection waits for the next request.
pub(crate) struct Answered {
    pub server: Rc<Server>,
    pub client: Rc<Client>,
}

impl Drop for Answered {
    fn drop(&mut self) {
        self.client.idle_since.set(tokio::time::Instant::now());
        self.client.stream.mark_idle();
        self.client.busy.set(false);
        self.client.flowing.set(false);
        self.server.clients.rests(&self.client);
    }
}

/// Tells the host when hyper drops an unanswered request because its client is gone.
struct Owed<'a> {
    host: &'a Rc<Host>,
    id: RequestId,
    open: bool,
}

impl Drop for Owed<'_> {
    fn drop(&mut self) {
        if self.open {
            self.host.client_disconnected(self.id);
        }
    }
}

/// Keeps the id of an open request from being used twice.
struct Open<'a> {
    ids: &'a RefCell<HashSet<HeaderValue>>,
    id: HeaderValue,
}

impl<'a> Open<'a> {
    fn new(ids: &'a RefCell<HashSet<HeaderValue>>, id: HeaderValue) -> Option<Open<'a>> {
        let fresh = ids.borrow_mut().insert(id.clone());
        fresh.then_some(Open { ids, id })
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.ids.borrow_mut().remove(&self.id);
    }
}
pub(crate) fn plain(status: StatusCode, text: &'static str) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Whole(Some(Bytes::from_static(text.as_bytes()))));
    *response.status_mut() = status;
    response
}
