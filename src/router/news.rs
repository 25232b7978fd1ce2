//! Which rows of a table a message tells to other routers.

use rand::seq::IndexedRandom;

/// Rows of one message: changes just learnt, and of the others a random selection.
const MAX_NEWS: usize = 32;
const MAX_REPEATED: usize = 8;

/// Selects among `rows`, each with whether it is news.
pub(crate) fn select_news<T: Clone>(rows: impl Iterator<Item = (T, bool)>) -> Vec<T> {
    let (mut news, mut others) = (Vec::new(), Vec::new());
    for (row, is_news) in rows {
        if is_news { news.push(row) } else { others.push(row) }
    }
    news.truncate(MAX_NEWS);
    let repeated = others.choose_multiple(&mut rand::rng(), MAX_REPEATED).cloned();
    news.into_iter().chain(repeated).collect()
}
