//! Tests of once.
