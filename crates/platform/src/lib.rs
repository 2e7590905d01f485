//! Client of the platform's key-value service and the configuration kept in it.
