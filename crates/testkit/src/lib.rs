//! Stand-ins on loopback for tests of real processes, written from the protocol.

#![deny(unsafe_code)]
#![warn(missing_docs)]

pub mod server;
pub mod state_service;

pub use state_service::StateService;
