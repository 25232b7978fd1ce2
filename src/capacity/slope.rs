//! Measured slopes, and those recorded for the present version.

use std::collections::BTreeMap;

use crate::capacity::Fit;

/// Slopes recorded by `filberttiller capacity --measure --json`.
pub const RECORDED: &str = include_str!("slopes.json");

wire! {
    /// What one measurement gave over its sizes.
    pub struct Slope {
        /// Name of the measurement.
        pub name: String,
        /// What one unit of size is.
        pub unit: String,
        /// Sizes measured.
        pub sizes: Vec<usize>,
        /// Heap in bytes.
        pub bytes: Option<Fit>,
        /// Time in microseconds.
        pub micros: Option<Fit>,
        /// Bytes on the wire.
        pub wire: Option<Fit>,
    }
}

/// Slopes by name.
#[derive(Debug, Clone, Default)]
pub struct Slopes {
    by_name: BTreeMap<String, Slope>,
}

impl Slopes {
    /// The slopes recorded for the present version.
    ///
    /// # Errors
    /// Fails when the record cannot be read.
    pub fn recorded() -> Result<Slopes, serde_json::Error> {
        let slopes: Vec<Slope> = serde_json::from_str(RECORDED)?;
        Ok(slopes.into_iter().collect())
    }

    /// All slopes in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Slope> {
        self.by_name.values()
    }

    /// Heap in bytes at `size`.
    pub fn bytes(&self, name: &str, size: f64) -> f64 {
        self.part(name, |it| it.bytes.as_ref()).map_or(f64::NAN, |it| it.at(size))
    }

    /// Growth of the heap in bytes from size 0 to `size`.
    pub fn bytes_growth(&self, name: &str, size: f64) -> f64 {
        self.part(name, |it| it.bytes.as_ref()).map_or(f64::NAN, |it| it.slope * size)
    }

    /// Time in microseconds at `size`.
    pub fn micros(&self, name: &str, size: f64) -> f64 {
        self.part(name, |it| it.micros.as_ref()).map_or(f64::NAN, |it| it.at(size))
    }

    /// Growth of the time in microseconds from size 0 to `size`.
    pub fn micros_growth(&self, name: &str, size: f64) -> f64 {
        self.part(name, |it| it.micros.as_ref()).map_or(f64::NAN, |it| it.slope * size)
    }

    /// Bytes on the wire at `size`.
    pub fn wire(&self, name: &str, size: f64) -> f64 {
        self.part(name, |it| it.wire.as_ref()).map_or(f64::NAN, |it| it.at(size))
    }

    /// Growth of the bytes on the wire for one unit of size.
    pub fn wire_per_unit(&self, name: &str) -> f64 {
        self.part(name, |it| it.wire.as_ref()).map_or(f64::NAN, |it| it.slope)
    }

    fn part(&self, name: &str, part: impl Fn(&Slope) -> Option<&Fit>) -> Option<&Fit> {
        self.by_name.get(name).and_then(part)
    }
}

impl FromIterator<Slope> for Slopes {
    fn from_iter<I: IntoIterator<Item = Slope>>(slopes: I) -> Slopes {
        Slopes { by_name: slopes.into_iter().map(|it| (it.name.clone(), it)).collect() }
    }
}
