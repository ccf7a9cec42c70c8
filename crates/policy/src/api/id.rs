//! Identifiers, which are numbers that the host assigns and have no meaning outside the process.

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// A client request; its id is never reused.
    RequestId(u64);
    /// A backend: the address of one server process.
    BackendId(u32);
    /// A zone of the network.
    ZoneId(u32);
    /// A cell: a few backends that know each other's idempotency keys.
    CellId(u64);
    /// A kind of machine: backends of one kind count as equally fast.
    KindId(u32);
    /// A request class: an index into [`Config::classes`](super::Config::classes).
    ClassId(usize);
    /// A tenant: an index into [`Config::tenants`](super::Config::tenants).
    TenantId(usize);
    /// Number of an attempt within its request, from 0 in the order of dispatch.
    AttemptNo(u32);
    /// A timer.
    TimerToken(u64);
}
