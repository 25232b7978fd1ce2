//! Tests of control.
