//! Support for tests of real processes: fake servers on the loopback address that stand in for
//! other systems, and files in the temporary directory. The servers are implemented from the
//! protocol's specification, except for the code that they share with the controller through the
//! protocol crate.

#![deny(unsafe_code)]
#![warn(missing_docs)]

pub mod platform_settings;
pub mod server;
pub mod state_service;
pub mod temp_folder;

pub use platform_settings::PlatformSettings;
pub use state_service::StateService;
pub use temp_folder::TempFolder;
