//! Results: figures, files, tables and pages.

pub mod compare;
pub mod figures;
pub mod page;
pub mod table;
