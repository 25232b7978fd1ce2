//! A map of values by service.

use std::collections::HashMap;
use std::sync::Mutex;

/// Values by the name of a service.
#[derive(Debug)]
pub(crate) struct ByService<T> {
    values: Mutex<HashMap<String, T>>,
}

impl<T> Default for ByService<T> {
    fn default() -> ByService<T> {
        ByService { values: Mutex::default() }
    }
}

impl<T> ByService<T> {
    /// Reads or changes the value of `service`; `make` creates a missing one.
    pub fn with<R>(
        &self,
        service: &str,
        make: impl FnOnce() -> T,
        act: impl FnOnce(&mut T) -> R,
    ) -> R {
        let mut values = self.values.lock().unwrap();
        match values.get_mut(service) {
            Some(it) => act(it),
            None => act(values.entry(service.to_owned()).or_insert_with(make)),
        }
    }

    /// What `read` makes of the values by the names of their services.
    pub fn collect<R>(&self, mut read: impl FnMut(&str, &mut T) -> Option<R>) -> Vec<R> {
        let mut values = self.values.lock().unwrap();
        values.iter_mut().filter_map(|(name, it)| read(name, it)).collect()
    }

    /// Names of the services whose values fulfil `filter`.
    pub fn names(&self, filter: impl Fn(&T) -> bool) -> Vec<String> {
        let values = self.values.lock().unwrap();
        values.iter().filter(|(_, it)| filter(it)).map(|(name, _)| name.clone()).collect()
    }
}
