//! The simulated proxies of this process, and the handling of lines.

use crate::actions::{write_action, write_line};
use crate::endpoints::{read_endpoint, EndpointLists};
use crate::error::WireError;
use crate::events::read_event;
use crate::fields::Fields;
use crate::instance::Instance;
use lotusdeck_policy::settings::EndpointRecord;
use lotusdeck_policy::{Action, Time};
use serde_json::{json, Value};
use std::collections::HashMap;

/// The largest number of an endpoint list.
const MAX_LIST_NUMBER: u64 = 15;

/// Whether the reply to the simulator is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reply {
    /// Further lines of this turn follow.
    Pending,
    /// The turn has ended.
    Complete,
}

/// All simulated proxies of this process.
#[derive(Default)]
pub(crate) struct Adapter {
    /// By name; `None` if the settings were invalid, which was reported.
    instances: HashMap<String, Option<Instance>>,
    lists: EndpointLists,
    /// The simulated time of the current turn; `None` between turns.
    now: Option<Time>,
    /// Reused between events to keep its allocation.
    actions: Vec<Action>,
}

impl Adapter {
    /// Handles one line and adds the resulting lines to the reply.
    ///
    /// # Errors
    /// Returns an error if the line is invalid.
    pub(crate) fn handle_line(&mut self, line: &str, reply: &mut Vec<u8>) -> Result<Reply, WireError> {
        let value: Value = serde_json::from_str(line)?;
        let values = value.as_array().ok_or(WireError::NotAnArray)?;
        let message = values.first().and_then(Value::as_str).ok_or(WireError::NoMessageName)?;
        let fields = Fields { message, values: &values[1..] };
        check_value_count(&fields)?;
        if message == "TICK" {
            self.now = Some(Time(fields.unsigned(0, "the clock in microseconds")?));
            return Ok(Reply::Pending);
        }
        let now = self.now.ok_or_else(|| WireError::NoTick(message.to_owned()))?;
        match message {
            "END" => {
                self.now = None;
                reply.extend_from_slice(b"[\"YIELD\"]\n");
                return Ok(Reply::Complete);
            }
            "SNAPSHOT_ROWS" => self.read_list(&fields)?,
            "CREATE" => self.create(&fields, reply)?,
            "KILLED" => self.remove(&fields)?,
            _ => self.handle_event(now, &fields, reply)?,
        }
        Ok(Reply::Pending)
    }

    fn read_list(&mut self, fields: &Fields) -> Result<(), WireError> {
        const EXPECTED: &str = "a roster number from 0 to 15";
        let number = fields.unsigned(0, EXPECTED)?;
        if number > MAX_LIST_NUMBER {
            return Err(fields.unexpected(0, EXPECTED));
        }
        let entries = fields.array(1, "an array of entries")?;
        let list: Result<Vec<EndpointRecord>, WireError> = entries.iter().map(read_endpoint).collect();
        self.lists.insert(number, list?);
        Ok(())
    }

    fn create(&mut self, fields: &Fields, reply: &mut Vec<u8>) -> Result<(), WireError> {
        let name = fields.text(0, "an instance")?;
        let is_valid = name.strip_prefix("proxy-").is_some_and(|number| number.parse::<u64>().is_ok());
        if !is_valid {
            return Err(fields.unexpected(0, "an instance such as proxy-3"));
        }
        let seed = fields.unsigned(1, "a seed")?;
        let instance = match Instance::new(&fields.values[2], seed) {
            Ok(instance) => Some(instance),
            Err(error) => {
                eprintln!("lotusdeck-simulator-adapter: settings of {name}: {error}");
                write_line(reply, &json!(["BROKEN", name, format!("settings: {error}")]));
                None
            }
        };
        self.instances.insert(name.to_owned(), instance);
        Ok(())
    }

    fn remove(&mut self, fields: &Fields) -> Result<(), WireError> {
        let name = fields.text(0, "an instance")?;
        self.instances.remove(name).ok_or_else(|| fields.unexpected(0, "a known instance"))?;
        Ok(())
    }

    fn handle_event(&mut self, now: Time, fields: &Fields, reply: &mut Vec<u8>) -> Result<(), WireError> {
        let name = fields.text(0, "an instance")?;
        let entry = self.instances.get_mut(name);
        let entry = entry.ok_or_else(|| fields.unexpected(0, "a known instance"))?;
        let Some(instance) = entry else { return Ok(()) };
        let Some(event) = read_event(fields, instance, &self.lists)? else { return Ok(()) };
        instance.balancer.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            write_action(name, instance, &action, reply);
        }
        Ok(())
    }
}

/// Checks the number of values, which is fixed for each message.
fn check_value_count(fields: &Fields) -> Result<(), WireError> {
    let expected = match fields.message {
        "END" => 0,
        "TICK" | "KILLED" => 1,
        "SNAPSHOT_ROWS" | "VANISHED" | "TIMEOUT_FIRED" => 2,
        "CREATE" | "MEMO" => 3,
        "VIEW" => 4,
        "ESTABLISHED" | "STATUS_BACK" => 5,
        "JOB_IN" | "RETURNED" => 8,
        unknown => return Err(WireError::UnknownMessage(unknown.to_owned())),
    };
    if fields.values.len() == expected {
        return Ok(());
    }
    let message = fields.message.to_owned();
    Err(WireError::ValueCount { message, expected, got: fields.values.len() })
}
