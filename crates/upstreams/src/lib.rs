//! Announcements, calls and outgoing calls of the upstream beside the node.
