//! What is wrong with the settings; each error names the file, and the field if it is about
//! one.

use thiserror::Error;

/// Why the settings can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{file}: {cause}")]
    Unreadable {
        /// Path as given.
        file: String,
        /// Error of the system.
        #[source]
        cause: std::io::Error,
    },
    /// The platform's file is not JSON of the expected form.
    #[error("{file}: {cause}")]
    Json {
        /// Path as given.
        file: String,
        /// Error of the parser, which names the field.
        #[source]
        cause: serde_json::Error,
    },
    /// The operators' file is not an INI file.
    #[error("{file}: {cause}")]
    Ini {
        /// Path as given.
        file: String,
        /// Error of the parser.
        #[source]
        cause: ini::ParseError,
    },
    /// A field has a value that can't be used.
    #[error("{file}: {field}: {cause}")]
    Field {
        /// Path as given.
        file: String,
        /// Dotted name of the field.
        field: String,
        /// What is wrong with its value.
        #[source]
        cause: FieldError,
    },
}

/// What is wrong with the value of a field.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum FieldError {
    /// Not a name of a controller.
    #[error("empty, or with a space or slash")]
    InvalidName,
    /// Not a name of another controller.
    #[error("empty or our own")]
    InvalidPeerName,
    /// Not an address.
    #[error("\"{0}\" is not an IPv4 address with port")]
    NotAnAddress(String),
    /// Not a time span.
    #[error("{0} is not a positive number of seconds")]
    NotADuration(f64),
    /// Not a rate.
    #[error("{0} is not a positive rate")]
    NotARate(f64),
    /// Not an amount of processors and cards.
    #[error("not an amount")]
    NotAnAmount,
    /// Cancellations can't be carried out in time.
    #[error("must exceed lease_s by more than a second: no safe lease fits between")]
    CancellationDeadlineTooShort,
    /// Too few changes a transaction.
    #[error("fewer than {MIN_TXN_OPS} changes a transaction")]
    TooFewTxnOps,
    /// Too few sockets.
    #[error("fewer than {MIN_SOCKETS} sockets")]
    TooFewSockets,
    /// Not a number of a range.
    #[error("\"{value}\" is not a number from {min} to {max}")]
    OutOfRange {
        /// The value as given.
        value: String,
        /// Least value.
        min: f64,
        /// Greatest value.
        max: f64,
    },
    /// Neither of the words for a switch.
    #[error("\"{0}\" is neither on nor off")]
    NotASwitch(String),
    /// No such key. It is refused since a misspelt key that is passed over would be found out
    /// on the night it matters.
    #[error("unknown key")]
    UnknownKey,
}

/// The fewest changes a transaction with which a takeover fits into one.
pub(super) const MIN_TXN_OPS: usize = 4;
/// The fewest sockets with which a controller can work.
pub(super) const MIN_SOCKETS: usize = 32;
