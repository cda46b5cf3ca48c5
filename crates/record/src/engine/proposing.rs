//! Commands on their way to be agreed: asked at this front until they are answered, and held by a leader until their
//! texts are at a majority of voters.

use super::Record;
use crate::agreed::{VoterId, KIND_RULES};
use crate::events::Action;
use crate::proposals::{text_of, Asked, Offered, MOST};
use crate::rules::{Command, Digest, Refusal};
use crate::voter::{Place, Saved};
use crate::wire::Item;

/// Between two times that a command is asked again, in milliseconds.
const ASK_MS: f64 = 400.0;
/// Times that a voter who does not lead passes a command on.
const HOPS: u8 = 2;
/// A leader lets go of a command whose text does not come, after so many of its own looks.
const LOOKS: u32 = 50;

impl Record {
    /// Somebody at this front asks.
    pub(crate) fn ask(&mut self, now: f64, c: Command, text: Option<Vec<u8>>, actions: &mut Vec<Action>) {
        let refused = self.refuse_words(&c).or_else(|| {
            let held = text.and_then(|t| self.texts.put(t));
            let due = text_of(&c).map(|t| t.0);
            (due.is_some() && held != due).then_some(Refusal::Words)
        });
        let known = self.agreed.rules.answer(&c.key).cloned();
        if let Some(answer) = refused.map(Err).or(known) {
            return actions.push(Action::Answered { key: c.key, answer });
        }
        if self.proposals.asked.len() < MOST {
            self.proposals.asked.insert(c.key.clone(), Asked { command: c.clone(), next_ms: now + ASK_MS });
        }
        self.pass(c, HOPS, actions);
    }

    /// To this front itself if it leads, else to who does, else to any voter.
    fn pass(&mut self, c: Command, hops: u8, actions: &mut Vec<Action>) {
        if self.leads() {
            return self.offer(None, c, actions);
        }
        let voters: Vec<String> = match self.agreed.voters.is_empty() {
            true => self.config.voters.clone(),
            false => self.agreed.voters.values().cloned().collect(),
        };
        let to =
            self.leader().map(str::to_string).or_else(|| self.replication.any_of(&voters, &mut self.rng));
        if let Some(to) = to {
            self.send(&to, vec![Item::Propose(c, hops)], actions);
        }
    }

    /// Another front passes a command here.
    pub(crate) fn proposed(&mut self, from: &str, c: Command, hops: u8, actions: &mut Vec<Action>) {
        if let Some(answer) = self.agreed.rules.answer(&c.key).cloned() {
            return self.send(from, vec![Item::Answered(c.key, answer)], actions);
        }
        if self.refuse_words(&c).is_some() {
            return;
        }
        if self.leads() {
            self.offer(Some(from.into()), c, actions);
        } else if hops > 0 && self.leader().is_some_and(|l| l != from) {
            // Its text is here first, or the leader would look for it in vain.
            if let Some((d, bytes)) = text_of(&c) {
                self.fetch(from, d, bytes, actions);
                if self.texts.get(&d).is_none() {
                    self.proposals
                        .offered
                        .insert(c.key.clone(), Offered { command: c, from: Some(from.into()), looks: 0 });
                    return;
                }
            }
            self.pass(c, hops - 1, actions);
        }
    }

    /// A leader takes a command on.
    fn offer(&mut self, from: Option<String>, c: Command, actions: &mut Vec<Action>) {
        let key = c.key.clone();
        if self.proposals.in_log.contains_key(&key) || self.proposals.offered.len() >= MOST {
            return;
        }
        if let (Some((d, bytes)), Some(from)) = (text_of(&c), &from) {
            self.fetch(from, d, bytes, actions);
        }
        self.proposals.offered.entry(key).or_insert(Offered { command: c, from, looks: 0 });
        self.look(actions);
    }

    pub(crate) fn proposals_tick(&mut self, now: f64, actions: &mut Vec<Action>) {
        let mut again = Vec::new();
        for a in self.proposals.asked.values_mut().filter(|a| now >= a.next_ms) {
            a.next_ms = now + ASK_MS;
            again.push(a.command.clone());
        }
        for c in again {
            // It may have been agreed while nobody could say so.
            match self.agreed.rules.answer(&c.key).cloned() {
                Some(answer) => self.answer(&c.key, answer, actions),
                None => self.pass(c, HOPS, actions),
            }
        }
        let leads = self.leads();
        if leads != std::mem::replace(&mut self.proposals.led, leads) {
            // What another leader had offered may be lost: who asked asks again.
            self.proposals.in_log.clear();
        }
        self.proposals.offered.values_mut().for_each(|o| o.looks += 1);
        self.proposals.offered.retain(|_, o| o.looks < LOOKS);
        self.look(actions);
    }

    /// Looks at what is held for its text, here or at other voters.
    pub(crate) fn look(&mut self, actions: &mut Vec<Action>) {
        let mut moved = Vec::new();
        let mut wanted = Vec::new();
        for (key, o) in &self.proposals.offered {
            let Some((d, bytes)) = text_of(&o.command) else {
                moved.push(key.clone());
                continue;
            };
            if self.texts.get(&d).is_none() {
                wanted.extend(o.from.clone().map(|from| (from, d, bytes)));
            } else if !self.leads() {
                moved.push(key.clone());
            } else {
                match self.proposals.checked.get(&d) {
                    None => wanted.push((String::new(), d, bytes)),
                    Some(_) => {
                        let held =
                            self.proposals.holds.get(&d).map_or(0, |h| {
                                h.iter().filter(|v| self.agreed.voters.contains_key(v)).count()
                            });
                        if 2 * held > self.agreed.voters.len() {
                            moved.push(key.clone());
                        } else {
                            wanted.push((String::new(), d, bytes));
                        }
                    }
                }
            }
        }
        for (from, d, bytes) in wanted {
            match from.is_empty() {
                false => self.fetch(&from, d, bytes, actions),
                true => self.check_all(d, bytes, actions),
            }
        }
        for key in moved {
            let Some(o) = self.proposals.offered.remove(&key) else { continue };
            if !self.leads() {
                self.pass(o.command, 1, actions);
                continue;
            }
            let body = postcard::to_stdvec(&o.command).unwrap_or_default();
            if self.voter.as_mut().is_some_and(|v| v.propose(KIND_RULES, &body)) {
                self.proposals.in_log.insert(key, o.from);
            }
        }
    }

    /// A leader has a text: it is checked here, and the other voters are told that there is one to fetch and check.
    fn check_all(&mut self, d: Digest, bytes: u32, actions: &mut Vec<Action>) {
        self.check(d, actions);
        let holds = self.proposals.holds.get(&d).cloned().unwrap_or_default();
        let lacking: Vec<String> = self
            .agreed
            .voters
            .iter()
            .filter(|(id, _)| !holds.contains(id))
            .map(|(_, name)| name.clone())
            .collect();
        for to in lacking {
            self.send(&to, vec![Item::Whole(0, d, bytes)], actions);
        }
    }

    /// A text is here: may it be used?
    pub(crate) fn check(&mut self, d: Digest, actions: &mut Vec<Action>) {
        if self.voter.is_none() {
            return;
        }
        match self.proposals.checked.get(&d) {
            Some(None) => self.tell_holds(d, actions),
            Some(Some(_)) => {}
            None => {
                if let Some(text) = self.texts.get(&d) {
                    actions.push(Action::Check { digest: d, text: text.to_vec() });
                }
            }
        }
    }

    /// It may, or may not.
    pub(crate) fn checked(&mut self, d: Digest, wrong: Option<String>, actions: &mut Vec<Action>) {
        let good = wrong.is_none();
        if self.proposals.checked.insert(d, wrong).is_some() || !good {
            return;
        }
        if let Some(text) = self.texts.get(&d).filter(|_| self.voter.is_some()) {
            actions.push(Action::Write(vec![(Place::Text(d), Some(Saved::Text(text.to_vec())))]));
            self.tell_holds(d, actions);
            self.look(actions);
        }
    }

    fn tell_holds(&mut self, d: Digest, actions: &mut Vec<Action>) {
        let own = self.config.voter();
        if self.leads() {
            return self.holds(d, own);
        }
        if let Some(to) = self.leader().map(str::to_string) {
            self.send(&to, vec![Item::Holds(d, own)], actions);
        }
    }

    /// A voter has a text durably, and found it good.
    pub(crate) fn holds(&mut self, d: Digest, voter: VoterId) {
        self.proposals.holds.entry(d).or_default().insert(voter);
    }

    /// What is wrong with a text, where it was checked here.
    pub fn wrong_with(&self, d: &Digest) -> Option<&str> {
        self.proposals.checked.get(d)?.as_deref()
    }
}
