//! A client of the PostgreSQL front writes a hundred rows in one transaction, ahead of the answers, which it reads at the
//! end. The server of the transaction dies in the middle of it.

use crate::lab::{free_address, node_config, Lab, Process, Result};
use crate::pg_client::{describe_answer, operator_file, statement, PgClient};
use crate::Verdict;
use std::time::{Duration, Instant};

const SERVERS: usize = 5;
const ROWS: usize = 100;
const ROW: &str = "insert into lines values ($1)";
/// The time from one row to the next, and the time that a server takes for a statement.
const ROW_INTERVAL: Duration = Duration::from_millis(10);
const STATEMENT_MS: &str = "25";
/// The rows after which the server dies.
const ROWS_BEFORE_DEATH: usize = 10;

/// What the servers have told so far.
#[derive(Default)]
struct Told {
    /// The server of the transaction.
    server: Option<usize>,
    /// Rows that it has run.
    ran: usize,
    /// Rows that were committed, by any server.
    committed: Vec<String>,
}

impl Told {
    fn update(&mut self, servers: &[Process]) {
        for (number, server) in servers.iter().enumerate() {
            for line in server.lines.try_iter() {
                if line.ends_with("ran [begin] ()") {
                    self.server = Some(number);
                }
                self.ran += usize::from(self.server == Some(number) && line.contains("ran [insert"));
                if let Some((_, row)) = line.split_once(" committed ") {
                    self.committed.push(row.to_string());
                }
            }
        }
    }
}

pub fn run(lab: &Lab) -> Result<Verdict> {
    let addresses = (0..SERVERS).map(|_| free_address()).collect::<Result<Vec<_>>>()?;
    let (listen, front, discovery) = (free_address()?, free_address()?, free_address()?);
    let start = |(number, address): (usize, &std::net::SocketAddr)| {
        let name = format!("pg-{}", number + 1);
        lab.start_stand_in(&name, &["pg-server", &name, &address.port().to_string(), STATEMENT_MS], *address)
    };
    let mut servers = addresses.iter().enumerate().map(start).collect::<Result<Vec<_>>>()?;
    let _discovery =
        lab.start_stand_in("discovery", &["discovery", &discovery.port().to_string(), ""], discovery)?;
    let config = node_config(listen, discovery, 1);
    let _proxy = lab.start_proxy(&config, &operator_file(front, &addresses), listen)?;
    let (mut sender, mut receiver) = PgClient::connect(front)?.split()?;
    let sent = lab.clone();
    let sending = std::thread::spawn(move || {
        let mut send = |text: &str, parameters: &[&str]| {
            sent.note(&format!("the client sends [{text}] ({})", parameters.join(",")));
            sender.send(&statement(text, parameters)).is_some()
        };
        let mut is_open = send("begin", &[]);
        for row in 1..=ROWS {
            std::thread::sleep(ROW_INTERVAL);
            is_open = is_open && send(ROW, &[&format!("row-{row}")]);
        }
        is_open && send("commit", &[])
    });
    let mut told = Told::default();
    let started_at = Instant::now();
    while lab.has_trouble && told.ran < ROWS_BEFORE_DEATH {
        told.update(&servers);
        if started_at.elapsed() > Duration::from_secs(20) {
            return Err("the transaction did not begin".into());
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    if let Some(server) = told.server.filter(|_| lab.has_trouble) {
        lab.note(&format!("pg-{} is killed", server + 1));
        servers[server].kill();
    }
    let is_sent = sending.join().map_err(|_| "the sender failed")?;
    lab.note(if is_sent { "all was sent" } else { "the connection ended before all was sent" });
    for _ in 0..ROWS + 2 {
        let answer = receiver.receive_to_ready();
        let texts: Vec<String> = answer.iter().map(describe_answer).collect();
        lab.note(&format!("the client gets {}", texts.join("; ")));
        if answer.last().is_none_or(|message| message.0 != b'Z') {
            break; // the session has ended
        }
    }
    std::thread::sleep(Duration::from_secs(1));
    told.update(&servers);
    lab.note(&format!("{} of the {ROWS} rows of the transaction were committed", told.committed.len()));
    Ok(match told.committed.len() {
        0 | ROWS => Verdict::Held,
        committed => Verdict::Broken(format!(
            "{committed} of the {ROWS} rows of one transaction were committed; the first is {}",
            told.committed[0]
        )),
    })
}
