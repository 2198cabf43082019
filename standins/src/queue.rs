//! Admission to the slots of an engine in the order of arrival.

use std::collections::VecDeque;

use smol::channel::{Receiver, Sender};

/// Identifies a stream in the queue.
pub type Ticket = u64;

/// Streams that run, and streams that wait for a slot.
#[derive(Debug)]
pub struct SlotQueue {
    slots: usize,
    next: Ticket,
    running: Vec<Ticket>,
    waiting: VecDeque<(Ticket, Sender<()>)>,
}

impl SlotQueue {
    /// Creates an empty queue for a number of slots.
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            next: 0,
            running: Vec::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Adds a stream to the queue. The receiver gets a message once the ticket has a slot.
    pub fn join(&mut self) -> (Ticket, Receiver<()>) {
        let (sender, granted) = smol::channel::bounded(1);
        let ticket = self.next;
        self.next += 1;
        self.waiting.push_back((ticket, sender));
        self.grant();
        (ticket, granted)
    }

    /// Removes a stream from the queue, or releases its slot.
    pub fn leave(&mut self, ticket: Ticket) {
        self.running.retain(|t| *t != ticket);
        self.waiting.retain(|(t, _)| *t != ticket);
        self.grant();
    }

    /// Returns the number of running streams.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of waiting streams.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn grant(&mut self) {
        while self.running.len() < self.slots
            && let Some((ticket, sender)) = self.waiting.pop_front()
        {
            self.running.push(ticket);
            let _ = sender.try_send(());
        }
    }
}
