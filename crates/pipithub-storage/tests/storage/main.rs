//! Replacement of files and the saver, on a simulated disk whose operations fail and which can lose power.

mod disk;
mod replace;
mod saver;
