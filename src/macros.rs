//! Common sets of derives.

/// Declares value types: debug, clone and equality.
macro_rules! plain {
    ($($item:item)*) => {
        $( #[derive(Debug, Clone, PartialEq)] $item )*
    };
}

/// Declares small keys: copy, order and hash besides equality.
macro_rules! key {
    ($($item:item)*) => {
        $( #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)] $item )*
    };
}

/// Declares wire types: value types that serde reads and writes.
macro_rules! wire {
    ($($item:item)*) => {
        $( #[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)] $item )*
    };
}
