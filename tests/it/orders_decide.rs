//! What engines are to hold.
