//! Addresses of routers that a caller should use.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::demo::Caller;
use crate::load::{LoadOptions, ScheduledRequest};

/// Addresses of routers that a caller should use, with the time until which they are valid.
#[derive(Debug, Default)]
pub(crate) struct Addresses {
    /// Addresses in the order in which to use them.
    all: Vec<SocketAddr>,
    /// When to request them again; `None` before the first answer.
    valid_until: Option<Instant>,
}

impl Addresses {
    /// The addresses; requests them when there are none or they are no longer valid.
    pub(crate) async fn get(
        &mut self,
        caller: &Caller,
        options: &LoadOptions,
        scheduled: &ScheduledRequest,
    ) -> Result<&[SocketAddr], String> {
        if self.valid_until.is_none_or(|it| Instant::now() >= it) {
            *self = request_addresses(caller, options, scheduled).await?;
        }
        Ok(&self.all)
    }
}

/// Requests the addresses from one router after the other until one answers.
async fn request_addresses(
    caller: &Caller,
    options: &LoadOptions,
    scheduled: &ScheduledRequest,
) -> Result<Addresses, String> {
    let count = options.routers.len();
    let first = scheduled.random as usize % count;
    let mut fault = String::new();
    for i in 0..count {
        let begin = Instant::now();
        match caller.entry_answer(options.routers[(first + i) % count]).await {
            Ok(answer) => {
                let all: Vec<_> = answer.addresses.iter().map(|it| it.address).collect();
                let checked = all.iter().try_for_each(|it| options.check_address(*it));
                checked.map_err(|e| e.to_string())?;
                let valid_until = Some(begin + Duration::from_secs(answer.ttl_s));
                return Ok(Addresses { all, valid_until });
            }
            Err(e) => fault = e,
        }
    }
    Err(fault)
}
