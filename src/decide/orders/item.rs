//! What engines are to hold, and what they hold.

key! {
    /// A model version or adapter that tickets in force ask engines to hold.
    pub struct Item {
        /// Hash of the name by which requests ask for it; the same on every router.
        pub key: u64,
        /// Hash of the model's name.
        pub group: u64,
        /// Hash of the pool's name.
        pub pool: u64,
        /// Engines that are to hold it; above 0.
        pub copies: usize,
        /// Key of the model version that an adapter needs beneath it.
        pub base: Option<u64>,
    }

    /// Something that an engine reports and that tickets decide about.
    pub struct LoadedItem {
        /// Hash of the name by which requests ask for it.
        pub key: u64,
        /// Hash of the model's name.
        pub group: u64,
        /// Whether it is an adapter.
        pub adapter: bool,
    }
}

plain! {
    /// An engine as orders see it.
    pub struct Holder<'a> {
        /// Hash of its name.
        pub id: u64,
        /// Hash of its pool's name.
        pub pool: u64,
        /// Its failure domain.
        pub domain: &'a str,
        /// Whether it takes no new work.
        pub leaving: bool,
        /// Keys of what it reports to hold; `None` while nothing is known.
        pub held: Option<&'a [u64]>,
    }
}

impl Holder<'_> {
    /// Whether it is known to hold the item with `key`.
    pub fn holds(&self, key: u64) -> bool {
        self.held.is_some_and(|it| it.contains(&key))
    }
}
