//! Tests of fault.
