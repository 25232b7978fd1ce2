//! Exhaustive search over the decisions on once-only calls: two routers that
//! resends reach, a crash, a pause, a lost reply and a refused run, in every order.
//! The same search must find a fault when any one guard is left out.

mod bounds;
mod calls;
mod orders;
mod state;
mod steps;
