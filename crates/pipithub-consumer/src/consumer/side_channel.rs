//! A channel beside the consumer's, for what the broker may refuse: a refusal ends that channel alone.

/// The state of a channel with transactions that is opened when it is first needed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum SideChannel {
    #[default]
    Closed,
    /// The channel is being opened, or transactions are being selected on it.
    SettingUp(u16),
    Ready(u16),
}

impl SideChannel {
    /// Whether this is the channel of that number.
    pub(super) fn is_on(self, channel: u16) -> bool {
        match self {
            SideChannel::Closed => false,
            SideChannel::SettingUp(own) | SideChannel::Ready(own) => own == channel,
        }
    }
}
