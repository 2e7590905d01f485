//! The listener for operators, its client and the metrics.
