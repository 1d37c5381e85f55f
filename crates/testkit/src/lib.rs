//! What tests of real processes need: servers on loopback that stand in for other systems,
//! written from the protocol's text apart from what the protocol crate shares, and files in
//! the temporary folder.

#![deny(unsafe_code)]
#![warn(missing_docs)]

pub mod platform_settings;
pub mod server;
pub mod state_service;
pub mod temp_folder;

pub use platform_settings::PlatformSettings;
pub use state_service::StateService;
pub use temp_folder::TempFolder;
