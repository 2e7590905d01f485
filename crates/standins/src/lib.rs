//! Small stand-ins of the platform, upstreams and load, for tests and the demonstration.

pub mod platform;
pub mod load;
pub mod upstream;
