//! Tests of decide.
