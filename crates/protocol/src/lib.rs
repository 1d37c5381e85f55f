//! What the daemon and its tools both speak: HTTP/1.1 and the wire forms of the state service.

#![deny(unsafe_code)]
#![warn(missing_docs)]

pub mod client;
pub mod http;
pub mod state_service;
