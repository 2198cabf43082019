//! Admission to the slots of an engine in the order of arrival.

use std::collections::VecDeque;

use smol::channel::{Receiver, Sender};

/// Place in the line.
pub type Ticket = u64;

/// Streams that run and streams that wait for a slot.
#[derive(Debug)]
pub struct Line {
    slots: usize,
    next: Ticket,
    running: Vec<Ticket>,
    waiting: VecDeque<(Ticket, Sender<()>)>,
}

impl Line {
    /// Makes an empty line for a number of slots.
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            next: 0,
            running: Vec::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Joins the line. The receiver gets a message once the ticket has a slot.
    pub fn join(&mut self) -> (Ticket, Receiver<()>) {
        let (sender, granted) = smol::channel::bounded(1);
        let ticket = self.next;
        self.next += 1;
        self.waiting.push_back((ticket, sender));
        self.admit();
        (ticket, granted)
    }

    /// Leaves the line or gives the slot back.
    pub fn leave(&mut self, ticket: Ticket) {
        self.running.retain(|t| *t != ticket);
        self.waiting.retain(|(t, _)| *t != ticket);
        self.admit();
    }

    /// Returns the number of streams that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of streams that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn admit(&mut self) {
        while self.running.len() < self.slots
            && let Some((ticket, sender)) = self.waiting.pop_front()
        {
            self.running.push(ticket);
            let _ = sender.try_send(());
        }
    }
}
