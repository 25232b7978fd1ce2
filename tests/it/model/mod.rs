//! Exhaustive search over the decisions on at-most-once calls: a call is sent several times
//! to two routers, with a crash, a pause, a lost reply and a refused run, in every order.
//! The same search must find a fault when any one guard is missing.

mod bounds;
mod calls;
mod searches;
mod state;
mod steps;
