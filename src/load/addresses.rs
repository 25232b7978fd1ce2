//! Addresses that a caller was told to use.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::demo::Caller;
use crate::load::{LoadOptions, ScheduledRequest};

/// Addresses that a caller was told to use, for as long as the answer is good.
#[derive(Debug, Default)]
pub(crate) struct Addresses {
    /// In the order in which to try them.
    all: Vec<SocketAddr>,
    /// When to ask again; `None` before the first answer.
    until: Option<Instant>,
}

impl Addresses {
    /// The addresses; asks for them when there are none or they are too old.
    pub(crate) async fn get(
        &mut self,
        caller: &Caller,
        options: &LoadOptions,
        step: &ScheduledRequest,
    ) -> Result<&[SocketAddr], String> {
        if self.until.is_none_or(|it| Instant::now() >= it) {
            *self = ask(caller, options, step).await?;
        }
        Ok(&self.all)
    }
}

/// Asks one router after the other until one answers.
async fn ask(
    caller: &Caller,
    options: &LoadOptions,
    step: &ScheduledRequest,
) -> Result<Addresses, String> {
    let count = options.routers.len();
    let first = step.pick as usize % count;
    let mut fault = String::new();
    for i in 0..count {
        let begin = Instant::now();
        match caller.entry_answer(options.routers[(first + i) % count]).await {
            Ok(answer) => {
                let all: Vec<_> = answer.addresses.iter().map(|it| it.address).collect();
                let checked = all.iter().try_for_each(|it| options.check_address(*it));
                checked.map_err(|e| e.to_string())?;
                let until = Some(begin + Duration::from_secs(answer.ttl_s));
                return Ok(Addresses { all, until });
            }
            Err(e) => fault = e,
        }
    }
    Err(fault)
}
