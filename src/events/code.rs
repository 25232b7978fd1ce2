//! The catalogue of events; docs/EVENTS.md explains each.

/// Declares the codes with their number, name and text.
macro_rules! codes {
    ($($number:literal $code:ident $text:literal;)*) => {
        key! {
            /// An event of the catalogue.
            pub enum Code {
                $(#[doc = $text] $code = $number,)*
            }
        }

        impl Code {
            /// All codes in the order of their numbers.
            pub const ALL: &[Code] = &[$(Code::$code),*];

            /// Number in the catalogue.
            pub fn number(self) -> u16 {
                self as u16
            }

            /// Name in the catalogue.
            pub fn name(self) -> &'static str {
                match self { $(Code::$code => stringify!($code)),* }
            }

            /// Text of the catalogue, also the message of the event's log line.
            pub fn text(self) -> &'static str {
                match self { $(Code::$code => $text),* }
            }
        }
    };
}

codes! {
    // 1xx: process
    100 Started "the instance accepts requests";
    101 Ready "the instance has a state in force";
    102 ShutdownBegun "a graceful shutdown began";
    103 ShutdownDone "a graceful shutdown ended without cutting off requests";
    104 ShutdownCut "a shutdown cut off requests in flight";
    105 SettingsRead "changed settings were loaded";
    106 SettingsRefused "changed settings are invalid, the previous ones stay in effect";
    107 TurnedReady "this router became ready for callers";
    108 TurnedUnready "this router is not ready for callers";
    110 LinesDropped "log lines were dropped because there were too many";
    111 AcceptFailed "a connection could not be accepted";
    112 ConnectionRefused "a connection was not accepted because there are too many";
    113 MemoryShort "memory for requests and answers is short, a request was refused or an answer cut";
    114 ClientClosed "the connection of a slow or idle client was closed to make room for others";
    // 2xx: tickets and state
    200 TicketAccepted "a ticket came into force";
    201 TicketRejected "a ticket was rejected";
    202 LogUnreachable "the log service is unreachable";
    203 LogReachable "the log service is reachable again";
    204 LogRewound "the log lacks records that are already in force";
    205 NoState "neither the log nor a peer has a state to start from";
    206 StateDiffers "a peer folded different records up to the same offset";
    207 HistoryGap "the log no longer has the next records";
    208 StateFromSnapshot "the state was taken from a snapshot in the log";
    209 StateFromPeer "the state was taken from a peer";
    210 SnapshotWritten "a snapshot was written to the log";
    220 RulesInForce "newer rules are in force";
    221 RulesUnreadable "rules cannot be decoded, the previous ones stay in force";
    222 RulesLost "the rules cannot be read from the store";
    223 RulesBack "the rules can be read from the store again";
    224 ReadWhole "the store no longer has the next changes, everything is read again";
    225 AnnounceFailed "this router could not announce itself in the store";
    226 LookFailed "other routers could not be looked up in the store";
    227 BlameNotStored "blamed prompt parts cannot be written to the store";
    228 BlameStored "a blamed prompt part was written to the store";
    229 StoreRestored "the store was restored from a copy, what this router keeps there is written again";
    230 EraUnreadable "what the store says of its restorations cannot be read";
    231 StreamsUnwritten "streams that began, or software versions, cannot be written to the store";
    232 StreamsUnread "what the store has of streams and software versions cannot be read";
    233 StreamRecordUnreadable "a record of streams or of a software version cannot be decoded";
    234 SoftwareRegistered "a software version was registered in the store, streams may begin at it";
    235 DomainEvacuated "a failure domain is evacuated, its backend servers get no requests";
    236 DomainTakenBack "a failure domain is no longer evacuated";
    237 ServiceEvacuated "all backend servers of a service are in evacuated failure domains";
    238 ServiceTakenBack "a service has backend servers outside evacuated failure domains again";
    // 3xx: membership
    300 ListUnreachable "the instance list is unreachable";
    301 ListReachable "the instance list is reachable again";
    302 InstanceJoined "an instance joined";
    303 InstanceLeaving "an instance is leaving";
    304 InstanceGone "an instance is gone";
    305 RouterSuspected "a router does not respond and is suspected";
    306 RouterDead "a router did not refute the suspicion in time and counts as dead";
    307 SuspicionRefuted "this router refuted a suspicion of itself";
    308 MarkedLeaving "a backend server is marked as leaving";
    309 PeerRefused "an exchange with a peer of another version was refused";
    310 RouterHeard "another router is alive";
    311 RouterSilent "another router has sent nothing for a while and gets no callers";
    312 ReaderBegun "this router starts to read the store, also for other routers";
    313 ReaderEnded "this router now polls another router that reads the store";
    314 PeerUnhelpful "a router did not answer a request for backend servers";
    315 MessageUnreadable "a message between routers cannot be encoded or decoded";
    320 ServersLost "backend servers cannot be read from the store";
    321 ServersBack "backend servers can be read from the store again";
    322 RecordHeld "a record disappeared during an outage, its server stays in use for a while";
    323 RecordUnreadable "a record does not describe a backend server";
    324 ServerUnreached "a backend server cannot be reached and gets no requests for a while";
    325 ServerReached "a backend server is reachable again";
    326 LeavingStated "a backend server says in an answer that it leaves, it gets no new requests";
    327 LeavingUnreadable "what an answer says of its backend server leaving cannot be read";
    328 OriginsUntold "another router could not be told of streams, or their number is too large";
    329 SoftwareMixed "several software versions serve in a service, streams stay at theirs";
    330 SoftwareUniform "one software version serves in a service";
    331 ServerConfirmed "a backend server that restarted has been asked whether it takes work";
    332 CutOff "too few backend servers of a service can be reached from here, other routers get its requests";
    333 CutOffEnded "most backend servers of the service can be reached from here again";
    334 ServiceBrittle "backend servers of a service say that they are brittle, they get no requests that would wait";
    335 ServiceSound "backend servers of the service no longer say that they are brittle";
    336 BrittleUnreadable "what an answer says of its backend server being brittle cannot be read";
    337 CutOffDismissed "several backend servers of a service went at once, others can be reached from here";
    340 ServerCold "a backend server is cold, the fleet sends it few requests for a while";
    341 ServerWarm "a backend server is no longer cold";
    342 ColdUnreadable "for how long an answer says that its backend server is cold cannot be read";
    345 DemandUnreadable "the demand that another router tells of makes no sense and does not count";
    346 TokensUnreadable "what another router tells of tokens at backend servers cannot be read";
    // 4xx: placement and admission
    400 Placed "a request was assigned to a backend server";
    401 NoRoom "no backend server can take the request at present";
    420 RateExceeded "an organisation exceeded its rate limit";
    440 OrderSent "an order was sent to an engine";
    441 OrderDone "an engine has completed an order to load or unload";
    442 OrderRefused "an engine refused an order with an outdated fencing number";
    443 OrderFailed "an order to an engine failed";
    444 ClaimLapsed "a claim of an engine expired before its order was sent";
    445 OrdersHeld "the log accepts no claims of engines";
    446 OrdersResumed "the log accepts claims of engines again";
    447 OrderLogGap "claims of engines were lost from the log";
    448 NotLoaded "no engine has loaded the model or adapter that a request names";
    // 5xx: requests and responses
    500 RequestDone "a request was answered completely";
    501 RequestRefused "a request was refused";
    502 BackendFailed "a request to a backend server failed";
    503 RequestRetried "a request was retried";
    504 StreamCut "a stream ended before its end marker";
    505 BadRequest "a request is malformed";
    506 UnknownTarget "a request names a model or service that is not in force";
    507 DeadlinePassed "a request exceeded its deadline";
    508 NotReady "the instance has no state in force yet";
    509 Unauthorised "the token of a call is missing or wrong";
    510 UnknownCall "a call has an unknown path or method";
    511 TooLarge "a request is larger than allowed";
    512 CallerLeft "a caller disconnected before the end of its response";
    513 StreamResumed "a broken stream was resumed after its last event";
    514 RetryWithheld "a request was not retried because the retry budget is spent";
    515 ServerSetAside "a backend server fails or is slow and is ejected for a while";
    516 ServerProbed "an ejected backend server gets one request as a probe";
    517 ServerLimited "a backend server names how many requests a second it takes from all routers";
    518 ServerUnlimited "a backend server no longer names a limit of requests";
    519 LimitUnreadable "the limit that a backend server names cannot be read";
    520 ServerBacksOff "a backend server turned a request away and wants no others for a while";
    521 DelayUnreadable "the time for which a backend server wants no requests cannot be read";
    522 PaceUnreadable "the pace that a backend server reports cannot be read";
    // 6xx: at-most-once calls, idempotency keys and requests that crash backend servers
    600 OnceRun "the owner of an idempotency key ran its call";
    601 OnceRepeated "a repeated at-most-once call got the first response";
    602 OnceForwarded "an at-most-once call was forwarded to the owner of its key";
    603 KeyRefused "an idempotency key is forged or belongs to another organisation";
    604 KeyReused "an idempotency key was used again for another call";
    605 KeyExpired "an idempotency key is too old";
    606 InProgress "an at-most-once call was repeated while it was running";
    607 OutcomeUnknown "an at-most-once call may have run and its outcome is unknown";
    608 ClaimsUnavailable "an idempotency key could not be claimed in the log";
    609 ClaimsGap "claims were lost from the log before they were read";
    610 HintRefused "a chat hint is malformed, forged or of another chat";
    620 ServerCrashed "a backend server crashed while it ran a request";
    621 SuspectRefused "a request suspected of crashing backend servers was refused";
    622 PartBlamed "a part of prompts crashes backend servers, requests with it are refused";
    623 PartCleared "a request with a blamed part was answered, the part is not blamed any more";
    // 9xx: timelines and log appends
    900 EntryAnswered "a caller received the addresses of the routers to use";
    901 RequestReceived "a request was received";
    930 AppendFailed "the log service does not accept an append";
    931 AppendTaken "the log service accepts appends again";
}
