//! The settings of an instance: read from the platform's document, merged with those before, and the names
//! behind the numbers of the decision module. Shared by the proxy and the simulator's adapter.

mod difference;
mod document;
mod endpoint_record;
mod faults;
mod merge;
mod model;
mod name_table;
mod names;
mod network;
mod wire;

pub use endpoint_record::EndpointRecord;
pub use faults::{Fault, Faults};
pub use merge::{IdsInUse, SettingsMerge};
pub use model::Settings;
pub use names::Names;
pub use network::NetworkSettings;
pub use wire::read;
