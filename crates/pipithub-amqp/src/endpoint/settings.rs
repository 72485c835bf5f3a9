//! Settings of an endpoint: its role, limits and login.

/// The end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The end that opens the connection.
    Client,
    /// The end that accepts it.
    Server,
}

/// The limits of a connection. All except `max_body` are negotiated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// Highest channel number; 0 for any.
    pub channel_max: u16,
    /// Largest frame in bytes, at least 4096.
    pub frame_max: u32,
    /// Heartbeat interval in seconds; 0 to disable heartbeats.
    pub heartbeat: u16,
    /// Largest accepted body of a message, in bytes. A larger one closes its channel with reply code 311.
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

/// The credentials and the virtual host of a client. The mechanism is always `PLAIN`. `Debug` does not show the
/// password.
#[derive(Clone, PartialEq, Eq)]
pub struct Login {
    /// Name of the user.
    pub user: String,
    /// Password of the user.
    pub password: String,
    /// Name of the virtual host.
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
