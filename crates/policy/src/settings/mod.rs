//! The settings of an instance: reading the platform's document, merging with the previous settings, and the
//! names that belong to the ids of the decision module. Shared by the proxy and the simulator adapter.

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
