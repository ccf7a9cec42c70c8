//! Two clients of the PostgreSQL front, one server. The reader prepares its query in one round trip and runs it in the
//! next, as the unnamed statement. The desk places an order in between, or before it without the disruption.

use crate::lab::{free_address, node_config, Lab, Result};
use crate::pg_client::{bind, describe, describe_answer, execute, operator_file, parse, row, statement, sync};
use crate::pg_client::{Message, PgClient};
use crate::Verdict;
use std::collections::HashSet;
use std::time::Duration;

const ROUNDS: usize = 20;
const QUERY: &str = "select title from scores where id = $1";
const ORDER: &str = "insert into orders values ($1)";

/// Sends messages and waits for the answer; both go to the record.
fn ask(lab: &Lab, who: &str, client: &mut PgClient, what: &str, messages: &[Message]) -> Result<Vec<Message>> {
    lab.note(&format!("{who} sends {what}"));
    client.send(messages).ok_or(format!("{who} lost its connection"))?;
    let answer = client.receive_to_ready();
    let texts: Vec<String> = answer.iter().map(describe_answer).collect();
    lab.note(&format!("{who} gets {}", texts.join("; ")));
    Ok(answer)
}

pub fn run(lab: &Lab) -> Result<Verdict> {
    let (server, discovery) = (free_address()?, free_address()?);
    let (listen, front) = (free_address()?, free_address()?);
    let server_words = ["pg-server", "pg-1", &server.port().to_string(), "1"];
    let pg = lab.start_stand_in("pg-1", &server_words, server)?;
    let _discovery =
        lab.start_stand_in("discovery", &["discovery", &discovery.port().to_string(), ""], discovery)?;
    let config = node_config(listen, discovery, 1);
    let _proxy = lab.start_proxy(&config, &operator_file(front, &[server]), listen)?;
    let (mut reader, mut desk) = (PgClient::connect(front)?, PgClient::connect(front)?);
    let mut sent = HashSet::new();
    let mut wrong = Vec::new();
    for round in 1..=ROUNDS {
        let (score, order) = (format!("score-{round}"), format!("order-{round}"));
        let place_order = |desk: &mut PgClient| {
            ask(lab, "the desk", desk, &format!("[{ORDER}] ({order})"), &statement(ORDER, &[&order]))
        };
        sent.insert(format!("[{ORDER}] ({order})"));
        sent.insert(format!("[{QUERY}] ({score})"));
        if !lab.has_trouble {
            place_order(&mut desk)?;
        }
        let prepare = [parse(QUERY), describe(), sync()];
        ask(lab, "the reader", &mut reader, &format!("Parse [{QUERY}], Describe, Sync"), &prepare)?;
        if lab.has_trouble {
            place_order(&mut desk)?;
        }
        let run = [bind(&[&score]), execute(), sync()];
        let answer = ask(lab, "the reader", &mut reader, &format!("Bind ({score}), Execute, Sync"), &run)?;
        let is_failed = answer.iter().any(|message| message.0 == b'E');
        let rows: Vec<String> = answer.iter().filter(|m| m.0 == b'D').map(|m| row(&m.1)).collect();
        if !is_failed && rows != [format!("title of {score}")] {
            wrong.push(format!("the reader asked for the title of {score}, was told of success and got {rows:?}"));
        }
    }
    std::thread::sleep(Duration::from_millis(500));
    let ran: Vec<String> = pg.lines.try_iter().collect();
    for line in ran {
        let Some((_, what)) = line.split_once(" ran ") else { continue };
        if !sent.contains(what) {
            wrong.push(format!("the server ran {what}, which no client sent"));
        }
    }
    Ok(match wrong.first() {
        Some(first) => Verdict::Broken(format!("{} times, first: {first}", wrong.len())),
        None => Verdict::Held,
    })
}
