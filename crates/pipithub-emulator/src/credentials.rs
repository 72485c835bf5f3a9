//! The credentials that emulated servers accept.

use std::fmt;

/// The name of a user and the password that the user logs in with. `Debug` does not show the password.
#[derive(Clone, PartialEq, Eq)]
pub struct Credentials {
    /// The user's name; for a directory server, the DN that clients bind as.
    pub user: String,
    /// The password.
    pub password: String,
}

impl Credentials {
    /// The credentials of a user.
    pub fn new(user: impl Into<String>, password: impl Into<String>) -> Self {
        Credentials {
            user: user.into(),
            password: password.into(),
        }
    }
}

impl fmt::Debug for Credentials {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Credentials")
            .field("user", &self.user)
            .finish_non_exhaustive()
    }
}
