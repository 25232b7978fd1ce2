//! The items that engines are to hold, and those that they hold.

key! {
    /// A model version or adapter that engines are to hold by the tickets in force.
    pub struct Item {
        /// Hash of the name that requests use for it; the same on every router.
        pub key: u64,
        /// Hash of the model's name.
        pub group: u64,
        /// Hash of the pool's name.
        pub pool: u64,
        /// Number of engines that are to hold it; above 0.
        pub copies: usize,
        /// Key of the model version that an adapter extends; `None` for a model version.
        pub base: Option<u64>,
    }

    /// An item that an engine reports as loaded and that tickets decide about.
    pub struct LoadedItem {
        /// Hash of the name that requests use for it.
        pub key: u64,
        /// Hash of the model's name.
        pub group: u64,
        /// Whether it is an adapter.
        pub adapter: bool,
    }
}

plain! {
    /// What orders need to know about an engine.
    pub struct Holder<'a> {
        /// Hash of its name.
        pub id: u64,
        /// Hash of its pool's name.
        pub pool: u64,
        /// Its failure domain.
        pub domain: &'a str,
        /// Whether it takes no new work.
        pub leaving: bool,
        /// Keys of the items that it reports to hold; `None` while unknown.
        pub held: Option<&'a [u64]>,
    }
}

impl Holder<'_> {
    /// Whether the engine is known to hold the item with `key`.
    pub fn holds(&self, key: u64) -> bool {
        self.held.is_some_and(|it| it.contains(&key))
    }
}
