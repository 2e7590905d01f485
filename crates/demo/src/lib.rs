//! The demonstration and the measurements on loopback.
