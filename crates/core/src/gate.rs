//! What a core asks of limits that hold for more than this process.

use lotusdeck_fleet::ShareView;
use lotusdeck_policy::settings::Names;
use lotusdeck_policy::{ClassId, Micros, TenantId};
use serde::Serialize;
use std::rc::Rc;

/// The limits under which a request was taken in, by their places; handed back when it is over.
pub type Pass = Rc<[u16]>;

/// Asked before a request comes to the module. No call waits for anything.
pub trait Gate {
    /// Takes a request in under every limit that it is of.
    ///
    /// # Errors
    /// One of them is reached: when the client had better come again.
    fn enter(&self, class: ClassId, tenant: Option<TenantId>, names: &Names) -> Result<Pass, Micros>;
    /// A request that was taken in is over.
    fn leave(&self, pass: &Pass);
    /// Another process acts for this proxy beside this one, or does no more.
    fn shared(&self, with_another: bool);
    /// For operators.
    fn status(&self) -> GateStatus;
}

/// The fleet's limits at this moment, as this proxy sees them.
#[derive(Clone, Debug, Default, Serialize)]
pub struct GateStatus {
    /// Other proxies that are taken for alive.
    pub members: usize,
    /// How often that has changed.
    pub view: u64,
    /// Attempts that the others together have out, as far as they told.
    pub others_hold: Option<f64>,
    /// Datagrams that were not understood.
    pub unread: u64,
    /// One for each limit.
    pub shares: Vec<ShareView>,
}
