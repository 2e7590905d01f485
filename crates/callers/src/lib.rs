//! The HTTP listener for callers.
