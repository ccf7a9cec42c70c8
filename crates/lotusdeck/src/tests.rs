//! Tests of the definition of the command line.

use super::Cli;
use clap::CommandFactory;

#[test]
fn the_command_line_definition_is_valid() {
    Cli::command().debug_assert();
}
