//! Small stand-ins of the platform, upstreams and load, for tests and the demonstration.

mod addresses;
pub mod load;
pub mod platform;
pub mod platform_upstream;
pub mod upstream;

pub use addresses::Addresses;
