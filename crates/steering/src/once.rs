//! Idempotency keys of non-idempotent requests.
