//! Error bodies sent to callers.

impl ApiError {
    /// Finds the error in a client's error text that ends with the JSON body of an error
    /// response.
    pub fn find(text: &str) -> Option<ApiError> {
        let body: ApiErrorBody = serde_json::from_str(&text[text.find('{')?..]).ok()?;
        Some(body.error)
    }
}

wire! {
    /// Body of every error response.
    pub struct ApiErrorBody {
        /// The error.
        pub error: ApiError,
    }

    /// Why a request failed.
    pub struct ApiError {
        /// Description for people.
        pub message: String,
        /// Identifier of the cause, for programs.
        pub reason: String,
        /// Whether the request ran, did not run or may have run.
        pub verdict: String,
        /// Number of the event that was recorded, from the catalogue of events.
        pub event: u16,
        /// Id of the request.
        pub request: String,
        /// Time after which to retry, in milliseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub retry_ms: Option<u64>,
    }
}
