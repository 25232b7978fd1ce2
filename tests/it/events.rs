//! Tests of events.
