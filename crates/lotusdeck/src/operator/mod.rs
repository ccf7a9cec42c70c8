//! The operator file: the settings of one installation, as TOML. The file, its sections and the keys of its plain
//! tables are optional; the defaults apply where one is absent.
//!
//! `keys` is the table of keys of the plain tables, and `values` checks values against it and stores them in the
//! sections; `arrays` reads the arrays of tables. Each section has a module with its type, its defaults and, for an
//! array of tables, its checks; `faults` defines the faults. Nothing here uses the modules of this crate that the
//! sections configure.

mod arrays;
mod configuration;
mod faults;
mod fleet;
mod keys;
mod ledger;
mod limit;
mod postgres;
mod state;
#[cfg(test)]
mod tests;
mod values;

pub(crate) use configuration::ConfigurationSection;
pub(crate) use faults::{Fault, OperatorError};
pub(crate) use fleet::{FleetMember, FleetSection};
pub(crate) use keys::KEYS;
pub(crate) use ledger::LedgerSection;
pub(crate) use limit::LimitSection;
pub(crate) use postgres::{ClassSection, PostgresSection, ServerSection};
pub(crate) use state::StateSection;

use faults::{type_name, unknown_name};
use keys::tables;
use lotusdeck_proxy::stall_timeouts::StallTimeouts;
use std::path::Path;
use toml::de::{DeString, DeTable, DeValue};
use toml::Spanned;

/// The content of the file, with defaults for what is absent.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct OperatorFile {
    /// The section `[http]`.
    pub http: StallTimeouts,
    /// The section `[ledger]`.
    pub ledger: LedgerSection,
    /// The sections `[[postgres]]`, one for each front.
    pub postgres: Vec<PostgresSection>,
    /// The section `[state]`.
    pub state: StateSection,
    /// The section `[fleet]`.
    pub fleet: FleetSection,
    /// The sections `[[limit]]`.
    pub limits: Vec<LimitSection>,
    /// The section `[configuration]`.
    pub configuration: ConfigurationSection,
}

impl OperatorFile {
    /// Reads a file; without one, returns the defaults.
    ///
    /// # Errors
    /// The file cannot be read, or has a fault.
    pub(crate) fn load(path: Option<&Path>) -> Result<OperatorFile, OperatorError> {
        let Some(path) = path else { return Ok(OperatorFile::default()) };
        let unreadable = |source| OperatorError::Unreadable { path: path.into(), source };
        let text = std::fs::read_to_string(path).map_err(unreadable)?;
        OperatorFile::parse(&text).map_err(|faults| {
            let first = faults.first().map(|fault| fault.message.clone()).unwrap_or_default();
            OperatorError::Faults { path: path.into(), first, count: faults.len() }
        })
    }

    /// Parses the text of an operator file.
    ///
    /// # Errors
    /// All faults, in the order of their offsets.
    pub(crate) fn parse(text: &str) -> Result<OperatorFile, Vec<Fault>> {
        let (root, syntax_errors) = DeTable::parse_recoverable(text);
        let is_toml = syntax_errors.is_empty();
        let mut faults: Vec<Fault> = syntax_errors.iter().map(Fault::syntax).collect();
        let mut operator = OperatorFile::default();
        for (name, entry) in root.get_ref() {
            match name.get_ref().as_ref() {
                // These are parsed from the whole text, which is not possible if it is not TOML.
                "postgres" | "limit" if !is_toml => {}
                "postgres" => match postgres::parse(text) {
                    Ok(sections) => operator.postgres = sections,
                    Err(fault) => faults.push(fault),
                },
                "limit" => match limit::parse(text) {
                    Ok(limits) => operator.limits = limits,
                    Err(fault) => faults.push(fault),
                },
                _ => operator.read_table(name, entry, &mut faults),
            }
        }
        faults.sort_by_key(|fault| fault.offset);
        if faults.is_empty() {
            Ok(operator)
        } else {
            Err(faults)
        }
    }

    /// Reads the keys of a plain table, and adds the faults in it to `faults`.
    fn read_table(&mut self, name: &Spanned<DeString>, entry: &Spanned<DeValue>, faults: &mut Vec<Fault>) {
        let table = name.get_ref();
        let offset = name.span().start;
        if !tables().any(|known| known == table.as_ref()) {
            faults.push(Fault { offset, message: unknown_name("table", table, tables()) });
            return;
        }
        let DeValue::Table(keys) = entry.get_ref() else {
            let found = type_name(entry.get_ref());
            let message = format!("{table}: expected a table, got {found}");
            faults.push(Fault { offset, message });
            return;
        };
        for (key, value) in keys {
            let path = format!("{table}.{}", key.get_ref());
            match values::check(&path, value) {
                Ok(value) => self.set(&path, value),
                Err(fault) => faults.push(fault),
            }
        }
    }
}
