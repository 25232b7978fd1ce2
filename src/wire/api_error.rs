//! Errors as callers read them.

impl ApiError {
    /// The error in the text of a fault that ends with an error answer.
    pub fn find(fault: &str) -> Option<ApiError> {
        let body: ApiErrorBody = serde_json::from_str(&fault[fault.find('{')?..]).ok()?;
        Some(body.error)
    }
}

wire! {
    /// Body of every error answer.
    pub struct ApiErrorBody {
        /// The error.
        pub error: ApiError,
    }

    /// One error.
    pub struct ApiError {
        /// What went wrong, for people.
        pub message: String,
        /// What went wrong, for programs.
        pub reason: String,
        /// Whether the request may have run.
        pub verdict: String,
        /// Number of the event in the catalogue.
        pub event: u16,
        /// Id of the request.
        pub request: String,
        /// When to try again, in milliseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub retry_ms: Option<u64>,
    }
}
