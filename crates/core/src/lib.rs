//! The core of the proxy: it owns the decision module, and with it requests, attempts, deadlines and the promise of
//! exactly one final answer. It knows no protocol: a front hands it [`Work`], which sends itself, and keeps the
//! connections that attempts go out on behind [`Lines`].

mod adoption;
mod clock;
pub mod cordon;
mod counts;
mod former;
mod gate;
mod host;
mod journal;
mod memory;
mod pins;
mod registry;
mod status;
mod timers;
mod work;

pub use adoption::{InForce, Outdated, Successor};
pub use clock::{span, Clock};
pub use gate::{Gate, GateStatus, Pass};
pub use host::{Answer, Beside, Host};
pub use journal::{Clearance, Journal, JournalStatus, Labels};
pub use pins::Pin;
pub use registry::{Endpoint, News, Partial};
pub use status::{BackendStatus, KindStatus, Status};
pub use work::{Leg, Lines, Sending, Work};
