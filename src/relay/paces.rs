//! How well each service keeps up.

use std::collections::HashMap;
use std::sync::Mutex;

use crate::decide::Pace;

/// One pace a service.
#[derive(Debug, Default)]
pub struct Paces {
    all: Mutex<HashMap<String, Pace>>,
}

impl Paces {
    /// Reads or changes the pace of `service`.
    pub fn with<T>(&self, service: &str, act: impl FnOnce(&mut Pace) -> T) -> T {
        let mut all = self.all.lock().unwrap();
        let pace = match all.get_mut(service) {
            Some(it) => it,
            None => all.entry(service.to_owned()).or_default(),
        };
        act(pace)
    }
}
