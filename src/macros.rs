//! Common sets of derives.

/// Declares value types with debug output, clone and equality.
macro_rules! plain {
    ($($item:item)*) => {
        $( #[derive(Debug, Clone, PartialEq)] $item )*
    };
}

/// Declares small key types, which can also be copied, ordered and hashed.
macro_rules! key {
    ($($item:item)*) => {
        $( #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)] $item )*
    };
}

/// Declares wire types: value types that serde serialises and deserialises.
macro_rules! wire {
    ($($item:item)*) => {
        $( #[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)] $item )*
    };
}
