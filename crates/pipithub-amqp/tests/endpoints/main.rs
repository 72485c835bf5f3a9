//! A client and a server connected to each other, and peers that violate the protocol.

mod connections;
mod pair;
mod violations;
