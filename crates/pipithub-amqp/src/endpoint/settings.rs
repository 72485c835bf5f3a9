//! How an end of a connection is set up: its role, its limits, its login.

/// Which end this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The end that opens the connection.
    Client,
    /// The end that accepts it.
    Server,
}

/// The limits that are negotiated, and the largest body accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// The highest channel number; 0: any.
    pub channel_max: u16,
    /// The largest frame in bytes, at least 4096.
    pub frame_max: u32,
    /// Seconds between heartbeats; 0: none.
    pub heartbeat: u16,
    /// The largest message body accepted, in bytes. It is not negotiated: a larger one closes its channel with 311.
    pub max_body: u64,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            channel_max: 2047,
            frame_max: 131_072,
            heartbeat: 10,
            max_body: 64 << 20,
        }
    }
}

/// The credentials and virtual host of a client; the mechanism is always `PLAIN`.
#[derive(Clone, PartialEq, Eq)]
pub struct Login {
    /// The user.
    pub user: String,
    /// The password; never printed.
    pub password: String,
    /// The virtual host.
    pub virtual_host: String,
}

impl Default for Login {
    fn default() -> Self {
        Login {
            user: "guest".into(),
            password: "guest".into(),
            virtual_host: "/".into(),
        }
    }
}

impl std::fmt::Debug for Login {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Login({}@{})", self.user, self.virtual_host)
    }
}
