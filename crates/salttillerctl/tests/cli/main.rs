//! `salttillerctl` as a process, against stand-ins on loopback.

mod archive;
mod common;
mod recover;
