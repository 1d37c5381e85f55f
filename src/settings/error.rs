//! Errors of the settings. Each error names the file, and the field if a single field is invalid.

use thiserror::Error;

/// Reason for which the settings are rejected.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{file}: {cause}")]
    Unreadable {
        /// Path as given.
        file: String,
        /// Error of the operating system.
        #[source]
        cause: std::io::Error,
    },
    /// The platform's file is not JSON of the expected form.
    #[error("{file}: {cause}")]
    Json {
        /// Path as given.
        file: String,
        /// Error of the JSON parser, which names the field.
        #[source]
        cause: serde_json::Error,
    },
    /// The operators' file is not an INI file.
    #[error("{file}: {cause}")]
    Ini {
        /// Path as given.
        file: String,
        /// Error of the INI parser.
        #[source]
        cause: ini::ParseError,
    },
    /// A field has an invalid value.
    #[error("{file}: {field}: {cause}")]
    Field {
        /// Path as given.
        file: String,
        /// Name of the field with its sections, joined by dots.
        field: String,
        /// Reason for which the value is invalid.
        #[source]
        cause: FieldError,
    },
}

/// Reason for which the value of a field is invalid.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum FieldError {
    /// The value is not a valid controller name.
    #[error("must not be empty or contain a space or slash")]
    InvalidName,
    /// The value is not a valid name of a peer.
    #[error("must not be empty or this controller's own name")]
    InvalidPeerName,
    /// The value is not an IPv4 address with a port.
    #[error("\"{0}\" is not an IPv4 address with a port")]
    NotAnAddress(String),
    /// The value is not a valid duration.
    #[error("{0} is not a positive number of seconds")]
    NotADuration(f64),
    /// The value is not a valid rate.
    #[error("{0} is not a positive rate")]
    NotARate(f64),
    /// The value is not a valid amount of CPUs or GPUs.
    #[error("an amount of CPUs or GPUs is negative, not finite or too large")]
    NotAnAmount,
    /// The cancellation deadline leaves no time for an owner's lease.
    #[error("must exceed lease_s by more than one second to leave time for the owner's lease")]
    CancellationDeadlineTooShort,
    /// The maximum number of changes per transaction is too low.
    #[error("fewer than {MIN_TXN_OPS} changes per transaction")]
    TooFewTxnOps,
    /// The maximum number of sockets is too low.
    #[error("fewer than {MIN_SOCKETS} sockets")]
    TooFewSockets,
    /// The value is not a number within the accepted range.
    #[error("\"{value}\" is not a number from {min} to {max}")]
    OutOfRange {
        /// The value as given.
        value: String,
        /// Minimum value.
        min: f64,
        /// Maximum value.
        max: f64,
    },
    /// The value is neither `on` nor `off`.
    #[error("\"{0}\" is neither on nor off")]
    NotASwitch(String),
    /// The key does not exist. Unknown keys are rejected, because a misspelt key that is ignored
    /// would only be discovered when the setting is needed.
    #[error("unknown key")]
    UnknownKey,
}

/// Minimum number of changes per transaction with which a takeover fits into one transaction.
pub(super) const MIN_TXN_OPS: usize = 4;
/// Minimum number of sockets with which a controller can operate.
pub(super) const MIN_SOCKETS: usize = 32;
