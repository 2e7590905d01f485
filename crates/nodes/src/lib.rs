//! Links and membership between the nodes of the system.
