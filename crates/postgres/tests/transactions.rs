//! Sessions of a real driver through the front, with stand-ins for servers that record what they execute.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

mod rig;

use lotusdeck_policy::{BackendState, ClassId, Micros};
use lotusdeck_postgres::classes::Rule;
use rig::{code, run_local, stand_in, value, Rig, LONG_DEADLINE};

/// Simple and extended queries and transactions of a driver, with more clients than server connections.
#[tokio::test]
async fn drivers_share_connections_by_transaction() {
    run_local(async {
        let (address, seen) = stand_in().await;
        let rig = Rig::start(&[address], 1, LONG_DEADLINE).await;
        let (a, b) = (rig.driver("do re mi").await.unwrap(), rig.driver("do re mi").await.unwrap());
        assert_eq!(value(&a.simple_query("select 1").await.unwrap()), "select 1");
        a.simple_query("begin").await.unwrap();
        // The only connection is reserved: the other client's statement waits for the end of the transaction.
        let (waiting, committed) = tokio::join!(b.simple_query("select 2"), async {
            a.simple_query("insert").await.unwrap();
            a.simple_query("commit").await
        });
        assert!(value(&waiting.unwrap()) == "select 2" && committed.is_ok());
        let rows = b.query_typed("select 3", &[]).await.unwrap();
        assert_eq!(rows[0].get::<_, String>(0), "select 3");
        let order = ["select 1", "begin", "insert", "commit", "select 2", "select 3"];
        assert_eq!(*seen.statements.borrow(), order);
        assert_eq!((*seen.logins.borrow(), rig.servers.open_connections()), (1, 1));
        // Later clients get the parameters that the server reported.
        let late = rig.driver("do re mi").await.unwrap();
        assert_eq!(value(&late.simple_query("select 4").await.unwrap()), "select 4");
    })
    .await;
}

#[tokio::test]
async fn rejected_logins_do_not_reveal_which_users_exist() {
    run_local(async {
        let (address, seen) = stand_in().await;
        let rig = Rig::start(&[address], 4, LONG_DEADLINE).await;
        assert_eq!(code(rig.driver("fa so la").await), "28P01");
        assert_eq!(code(rig.driver_as("bob", "do re mi", "scores").await), "28P01");
        assert_eq!(code(rig.driver_as("ann", "do re mi", "wages").await), "3D000");
        assert_eq!(*seen.logins.borrow(), 0);
    })
    .await;
}

/// A statement whose server is lost is reported as unknown and not sent again, and the session continues on another
/// server connection.
#[tokio::test]
async fn a_lost_server_is_reported_and_nothing_runs_twice() {
    run_local(async {
        let ((one, first), (two, second)) = (stand_in().await, stand_in().await);
        let rig = Rig::start(&[one, two], 8, LONG_DEADLINE).await;
        let client = rig.driver("do re mi").await.unwrap();
        for (n, statement) in ["die", "halt", "die", "halt"].iter().enumerate() {
            assert_eq!(code(client.simple_query(statement).await), "08007", "{statement}");
            let next = format!("select {n}");
            assert_eq!(value(&client.simple_query(&next).await.unwrap()), next);
        }
        let all = [first.statements.borrow().clone(), second.statements.borrow().clone()].concat();
        assert_eq!(all.iter().filter(|s| *s == "die").count(), 2, "{all:?}");
        assert_eq!(all.len(), 8, "{all:?}");
        // In the extended protocol the error is followed by a ReadyForQuery only after the client's Sync.
        assert_eq!(code(client.query_typed("die", &[]).await), "08007");
        assert_eq!(value(&client.simple_query("select 9").await.unwrap()), "select 9");
    })
    .await;
}

/// When no server is reachable, statements get an error without being executed, and the session continues.
#[tokio::test]
async fn statements_without_a_reachable_server_fail_and_sessions_continue() {
    run_local(async {
        let unreachable = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
        let (address, seen) = stand_in().await;
        let rig = Rig::start(&[unreachable, address], 8, Micros(3_000_000)).await;
        rig.set_state(1, BackendState::Draining);
        let client = rig.driver("do re mi").await.unwrap();
        let refused = code(client.simple_query("select 1").await);
        assert!(["53300", "08006", "57014"].contains(&refused.as_str()), "{refused}");
        assert_eq!(code(client.query_typed("select 2", &[]).await).len(), 5);
        assert!(seen.statements.borrow().is_empty(), "a draining server gets no new statements");
        rig.set_state(1, BackendState::Ready);
        rig.set_state(0, BackendState::Removed);
        assert_eq!(value(&client.simple_query("select 3").await.unwrap()), "select 3");
    })
    .await;
}

/// A CancelRequest reaches the server that runs the statement; a statement that is not cancelled ends at its deadline.
#[tokio::test]
async fn cancels_and_deadlines_end_stalled_statements() {
    run_local(async {
        let (address, seen) = stand_in().await;
        let rig = Rig::start(&[address], 4, Micros(1_500_000)).await;
        let client = rig.driver("do re mi").await.unwrap();
        let token = client.cancel_token();
        token.cancel_query(tokio_postgres::NoTls).await.unwrap(); // no statement runs, so it is not forwarded
        let (ended, ()) = tokio::join!(client.simple_query("stall"), async {
            while seen.statements.borrow().is_empty() {
                tokio::task::yield_now().await;
            }
            token.cancel_query(tokio_postgres::NoTls).await.unwrap();
            seen.cancelled.notified().await;
        });
        assert_eq!(code(ended), "57014");
        assert_eq!(*seen.cancels.borrow(), [(1, 77)]);
        assert_eq!(value(&client.simple_query("select 1").await.unwrap()), "select 1");
        assert_eq!(*seen.logins.borrow(), 2, "the connection of the stalled statement was closed");
    })
    .await;
}

/// When a client disconnects in a transaction, the server connection is closed, so that the server rolls back.
#[tokio::test]
async fn a_client_that_disconnects_ends_its_transaction() {
    run_local(async {
        let (address, seen) = stand_in().await;
        let rig = Rig::start(&[address], 1, LONG_DEADLINE).await;
        let client = rig.driver("do re mi").await.unwrap();
        client.simple_query("begin").await.unwrap();
        drop(client);
        let next = rig.driver("do re mi").await.unwrap();
        assert_eq!(value(&next.simple_query("select 1").await.unwrap()), "select 1");
        assert_eq!(*seen.logins.borrow(), 2);
    })
    .await;
}

/// Named statements of two clients stay valid when their server changes. A text is parsed once on a connection,
/// whichever client prepares it under whichever name, and a text that failed to parse does not count as prepared.
#[tokio::test]
async fn prepared_statements_stay_valid_on_other_servers() {
    run_local(async {
        let ((one, first), (two, second)) = (stand_in().await, stand_in().await);
        let rig = Rig::start(&[one, two], 8, LONG_DEADLINE).await;
        let (a, b) = (rig.driver("do re mi").await.unwrap(), rig.driver("do re mi").await.unwrap());
        let echo = |rows: Vec<tokio_postgres::Row>| rows[0].get::<_, String>(0);
        // Both drivers name their first statement `s0`.
        let (x, y) = (a.prepare("select x").await.unwrap(), b.prepare("select y").await.unwrap());
        let again = b.prepare("select x").await.unwrap();
        for server in [0, 1, 0, 1] {
            rig.set_state(server, BackendState::Ready);
            rig.set_state(1 - server, BackendState::Draining);
            assert_eq!(echo(a.query(&x, &[]).await.unwrap()), "select x");
            assert_eq!(echo(b.query(&y, &[]).await.unwrap()), "select y");
            assert_eq!(echo(b.query(&again, &[]).await.unwrap()), "select x");
            assert_eq!(code(a.prepare("nonsense").await), "42601");
            assert_eq!(code(a.prepare("nonsense").await), "42601");
        }
        drop(again);
        assert_eq!(echo(a.query(&x, &[]).await.unwrap()), "select x", "only the other client closed it");
        for seen in [first, second] {
            let (parsed, logins) = (seen.parsed.borrow(), *seen.logins.borrow());
            let count = |text: &str| parsed.iter().filter(|p| *p == text).count();
            assert!(
                count("select x") <= logins && count("select y") <= logins,
                "{parsed:?}, {logins} logins"
            );
        }
    })
    .await;
}

/// Session state that outlives a transaction is not visible to other clients: the connection is closed after it.
#[tokio::test]
async fn settings_of_one_client_do_not_reach_another() {
    run_local(async {
        let (address, seen) = stand_in().await;
        let rig = Rig::start(&[address], 1, LONG_DEADLINE).await;
        let client = rig.driver("do re mi").await.unwrap();
        for (statement, logins) in
            [("select 1", 1), ("set x to 1", 1), ("set local y to 1", 2), ("listen z", 2), ("select 2", 3)]
        {
            client.simple_query(statement).await.unwrap();
            assert_eq!(*seen.logins.borrow(), logins, "{statement}");
        }
        // The same holds in the extended protocol.
        let set = client.prepare("set z to 1").await.unwrap();
        client.execute(&set, &[]).await.unwrap();
        let before = *seen.logins.borrow();
        client.simple_query("select 3").await.unwrap();
        assert_eq!(*seen.logins.borrow(), before + 1);
    })
    .await;
}

/// A single statement of a class without side effects is sent again if its server is lost before the first byte of the
/// answer. It is not sent again without the rule, after part of the answer, or together with another statement.
#[tokio::test]
async fn statements_without_side_effects_are_sent_again() {
    run_local(async {
        let ((one, first), (two, second)) = (stand_in().await, stand_in().await);
        let rule = Rule { class: ClassId(0), comment: Some("safe".into()), ..Rule::default() };
        let rig = Rig::start_with_rules(&[one, two], 8, LONG_DEADLINE, vec![rule]).await;
        let client = rig.driver("do re mi").await.unwrap();
        let count = |what: &str| {
            let all = [first.statements.borrow().clone(), second.statements.borrow().clone()].concat();
            all.iter().filter(|s| *s == what).count()
        };
        // Retries have a budget, which grows with the number of requests.
        for n in 0..12 {
            client.simple_query(&format!("select {n}")).await.unwrap();
        }
        // The stand-in closes the connection only when it receives the statement for the first time.
        assert_eq!(value(&client.simple_query("/* safe */ die once").await.unwrap()), "/* safe */ die once");
        assert_eq!(count("/* safe */ die once"), 2);
        assert_eq!(code(client.simple_query("die").await), "08007");
        assert_eq!(count("die"), 1);
        assert_eq!(
            code(client.simple_query("/* safe */ halt").await),
            "08007",
            "part of the answer was sent"
        );
        assert_eq!(count("/* safe */ halt"), 1);
        assert_eq!(code(client.simple_query("/* safe */ select 1; die").await).len(), 5);
        assert_eq!(count("/* safe */ select 1; die"), 1, "two statements are not a single statement");
    })
    .await;
}
