//! The tx and confirm classes: transactions and publisher confirms of a channel.

use std::collections::BTreeSet;

use pipithub_amqp::{Code, Fault, Method};

use super::core::Broker;
use super::dispatch::{Reply, not_implemented};
use super::entities::ChannelKey;
use super::publish::Publication;
use super::settle::TagSettlement;

/// The publishes and settlements of a channel since its last commit or rollback.
#[derive(Debug, Default)]
pub(super) struct Transaction {
    pub(super) publications: Vec<Publication>,
    settlements: Vec<TagSettlement>,
    /// The delivery tags of the settlements.
    pub(super) settled: BTreeSet<u64>,
}

impl Transaction {
    pub(super) fn add_settlement(&mut self, settlement: TagSettlement) {
        self.settled.insert(settlement.delivery_tag);
        self.settlements.push(settlement);
    }
}

impl Broker {
    pub(super) fn mode_method(&mut self, at: ChannelKey, method: Method) -> Reply {
        match method {
            Method::TxSelect {} => self.select_transactions(at),
            Method::TxCommit {} => self.commit(at),
            Method::TxRollback {} => self.rollback(at),
            Method::ConfirmSelect { no_wait } => self.select_confirms(at, no_wait),
            method => Err(not_implemented(&method)),
        }
    }

    fn select_transactions(&mut self, at: ChannelKey) -> Reply {
        let Some(channel) = self.channel(at) else {
            return Ok(None);
        };
        if channel.last_confirm.is_some() {
            return Err(precondition_failed("the channel is in confirm mode"));
        }
        channel.transaction.get_or_insert_default();
        Ok(Some(Method::TxSelectOk {}))
    }

    fn select_confirms(&mut self, at: ChannelKey, no_wait: bool) -> Reply {
        let Some(channel) = self.channel(at) else {
            return Ok(None);
        };
        if channel.transaction.is_some() {
            return Err(precondition_failed("the channel is transactional"));
        }
        channel.last_confirm.get_or_insert(0);
        Ok((!no_wait).then_some(Method::ConfirmSelectOk {}))
    }

    fn rollback(&mut self, at: ChannelKey) -> Reply {
        self.take_transaction(at)?;
        Ok(Some(Method::TxRollbackOk {}))
    }

    /// Executes the open transaction. Its parts take effect together, since no other event is handled in between.
    fn commit(&mut self, at: ChannelKey) -> Reply {
        let transaction = self.take_transaction(at)?;
        for publication in transaction.publications {
            self.publish(at, publication);
        }
        for settlement in transaction.settlements {
            self.settle(at, settlement);
        }
        Ok(Some(Method::TxCommitOk {}))
    }

    /// Takes the open transaction and leaves an empty one; a fault if the channel is not transactional.
    fn take_transaction(&mut self, at: ChannelKey) -> Result<Transaction, Fault> {
        self.channel(at)
            .and_then(|channel| channel.transaction.as_mut())
            .map(std::mem::take)
            .ok_or_else(|| precondition_failed("the channel is not transactional"))
    }
}

fn precondition_failed(text: &str) -> Fault {
    Fault::new(Code::PreconditionFailed, text)
}
