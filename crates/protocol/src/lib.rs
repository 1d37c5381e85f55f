//! Protocols that the controller, the operators' tools and the tests share: a subset of HTTP/1.1
//! and the messages of the state service. The package also contains the tools' blocking client.

#![deny(unsafe_code)]
#![warn(missing_docs)]

pub mod client;
pub mod http;
pub mod state_service;
