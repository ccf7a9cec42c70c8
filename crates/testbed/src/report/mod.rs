//! Results of runs: figures, comparisons, plots, tables and pages.

pub mod causes;
pub mod compare;
pub mod figures;
pub mod page;
pub mod plot;
pub mod swing;
pub mod table;
