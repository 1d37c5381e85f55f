//! Protocols that the controller and its tools share: a subset of HTTP/1.1 and the messages of the
//! state service.

#![deny(unsafe_code)]
#![warn(missing_docs)]

pub mod client;
pub mod http;
pub mod state_service;
