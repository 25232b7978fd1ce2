//! Tests of answers.
