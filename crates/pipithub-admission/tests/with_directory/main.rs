//! Admission and the directory core together in simulated time, against scripted directory servers.

mod directory_faults;
mod noisy_neighbour;
mod simulation;
mod tenancy;
