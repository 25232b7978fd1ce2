//! Tests of timeline.
