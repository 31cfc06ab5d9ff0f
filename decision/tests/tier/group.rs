//! Simulated voter processes whose network and disks fail as a script directs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::command::Command;
use wagtailbeam_decision::command::Outcome;
use wagtailbeam_decision::controller::Action;
use wagtailbeam_decision::controller::Controller;
use wagtailbeam_decision::controller::Event;
use wagtailbeam_decision::controller::Settings;
use wagtailbeam_decision::feed::Feed;
use wagtailbeam_decision::feed::Heartbeat;
use wagtailbeam_decision::feed::Message;
use wagtailbeam_decision::fleet::Fleet;
use wagtailbeam_decision::rollout;
use wagtailbeam_decision::tier::Change;
use wagtailbeam_decision::tier::State;
use wagtailbeam_decision::voter::Body;
use wagtailbeam_decision::voter::Mode;
use wagtailbeam_decision::voter::Record;

use crate::links::Links;

/// Maximum number of messages in flight; beyond it the oldest are lost.
const MESSAGES_MAX: usize = 4_000;

/// A machine with a disk: synced records survive a power loss, written ones do not.
#[derive(Default)]
struct Machine {
    controller: Option<Controller>,
    synced: Vec<Record>,
    written: Vec<(u64, Record)>,
    bootstrap: bool,
}

/// Voter processes by address, and the messages between them.
pub struct Group {
    pub now: Time,
    pub answers: BTreeMap<u64, Outcome>,
    machines: BTreeMap<SocketAddr, Machine>,
    messages: Vec<(SocketAddr, SocketAddr, Message)>,
    /// The last feed to each entry host.
    pub feeds: BTreeMap<SocketAddr, Feed>,
    /// All feeds that were not taken yet, with their voters and entry hosts.
    inbox: VecDeque<(SocketAddr, SocketAddr, Feed)>,
    /// Connections that lose long messages or are read late.
    pub links: Links,
    isolated: BTreeSet<SocketAddr>,
    /// Machines that don't run; their messages wait.
    frozen: BTreeSet<SocketAddr>,
    /// Reads of the list that were started, by machine and time.
    pub reads: Vec<(SocketAddr, Time)>,
    /// The list of replicas; reads of it are not answered without one.
    pub fleet: Option<Fleet>,
    /// Number of messages that asked for a promise.
    pub ballots: u64,
    /// Whether the bytes of records are counted in `written`.
    pub counts_records: bool,
    /// Bytes of the records written.
    pub written: usize,
    /// Seeds of the processes started from now on.
    pub seeds: Vec<SocketAddr>,
    boots: u64,
    last_command: u64,
}

/// Address of the machine at an index.
pub fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, at as u8], 70))
}

fn is_prepare(message: &Message) -> bool {
    matches!(message, Message::Voter(message) if matches!(message.body, Body::Prepare(..)))
}

impl Group {
    /// A new group of five started machines; the first three are the seeds.
    pub fn new() -> Group {
        Group::of(5)
    }

    /// A new group of five of which this many machines have started.
    pub fn of(machines: usize) -> Group {
        let mut group = Group {
            now: Time::from_us(1),
            answers: BTreeMap::new(),
            machines: BTreeMap::new(),
            messages: Vec::new(),
            feeds: BTreeMap::new(),
            inbox: VecDeque::new(),
            links: Links::default(),
            isolated: BTreeSet::new(),
            frozen: BTreeSet::new(),
            reads: Vec::new(),
            fleet: None,
            ballots: 0,
            counts_records: false,
            written: 0,
            seeds: (0..3).map(address).collect(),
            boots: 0,
            last_command: 0,
        };
        for at in 0..machines {
            group.add(at, true);
        }
        group
    }

    /// Adds a machine with an empty disk and starts it.
    pub fn add(&mut self, at: usize, bootstrap: bool) {
        let new = Machine {
            bootstrap,
            ..Machine::default()
        };
        self.machines.insert(address(at), new);
        self.start(at);
    }

    /// Number of machines, running or not.
    pub fn machines(&self) -> usize {
        self.machines.len()
    }

    /// Removes a machine with its disk.
    pub fn remove(&mut self, at: usize) {
        self.machines.remove(&address(at));
    }

    /// Starts a stopped machine from its synced records.
    pub fn start(&mut self, at: usize) {
        self.boots += 1;
        let (now, boots) = (self.now, self.boots);
        let Some(machine) = self.machines.get_mut(&address(at)) else {
            return;
        };
        if machine.controller.is_some() {
            return;
        }
        let settings = Settings {
            address: address(at),
            seeds: self.seeds.clone(),
            bootstrap: machine.bootstrap,
            voters: 5,
            read_every: Span::from_secs(1),
            nonce: 1_000 + boots,
            rollout: rollout::Settings::default(),
        };
        let (controller, actions) = Controller::new(now, settings, machine.synced.clone());
        machine.controller = Some(controller);
        self.apply(address(at), actions);
    }

    /// Cuts the power of a machine; records not yet synced are lost.
    pub fn crash(&mut self, at: usize) {
        if let Some(machine) = self.machines.get_mut(&address(at)) {
            machine.controller = None;
            machine.written.clear();
            machine.bootstrap = false;
        }
    }

    /// Cuts the power of a machine and wipes its disk.
    pub fn wipe(&mut self, at: usize) {
        self.crash(at);
        if let Some(machine) = self.machines.get_mut(&address(at)) {
            machine.synced.clear();
        }
    }

    /// Cuts the power of a machine and removes the last `lost` synced records without any
    /// report to the process.
    pub fn truncate_disk(&mut self, at: usize, lost: usize) {
        self.crash(at);
        if let Some(machine) = self.machines.get_mut(&address(at)) {
            let kept = machine.synced.len().saturating_sub(lost);
            machine.synced.truncate(kept);
        }
    }

    /// Isolates machines from all others, or connects them again.
    pub fn set_isolated(&mut self, machines: &[usize], isolated: bool) {
        for at in machines {
            match isolated {
                true => self.isolated.insert(address(*at)),
                false => self.isolated.remove(&address(*at)),
            };
        }
    }

    /// Takes the next feed to an entry host, with the voter that sent it.
    pub fn take_feed(&mut self, host: SocketAddr) -> Option<(SocketAddr, Feed)> {
        let at = self.inbox.iter().position(|(_, to, _)| *to == host)?;
        let (from, _, feed) = self.inbox.remove(at)?;
        Some((from, feed))
    }

    /// Sends a message of an entry host to a machine.
    pub fn send(&mut self, host: SocketAddr, to: SocketAddr, message: Message) {
        self.messages.push((host, to, message));
    }

    /// Stops a machine where it stands, or lets it go on.
    pub fn set_frozen(&mut self, at: usize, frozen: bool) {
        match frozen {
            true => self.frozen.insert(address(at)),
            false => self.frozen.remove(&address(at)),
        };
    }

    /// Ends a read of the list that a machine started at this time.
    pub fn end_read(&mut self, at: usize, started: Time, fleet: Fleet) {
        self.step(address(at), Event::ListRead(started, Some(fleet)));
    }

    /// Delivers the oldest message that waits for a machine. Returns whether there was one.
    pub fn deliver_next(&mut self, at: usize) -> bool {
        let waiting = |(_, to, _): &(_, SocketAddr, _)| *to == address(at);
        let Some(index) = self.messages.iter().position(waiting) else {
            return false;
        };
        let (from, to, message) = self.messages.remove(index);
        self.step(to, Event::Message(from, Box::new(message)));
        true
    }

    /// Delivers the feeds to entry hosts, and no other messages.
    pub fn deliver_feeds(&mut self) {
        for (from, to, message) in std::mem::take(&mut self.messages) {
            match message {
                Message::Feed(feed) => drop(self.feeds.insert(to, *feed)),
                message => self.messages.push((from, to, message)),
            }
        }
    }

    /// Delivers the heartbeat of an entry host to a machine.
    pub fn heartbeat(&mut self, at: usize, host: SocketAddr, heartbeat: Heartbeat) {
        let message = Message::Heartbeat(heartbeat);
        self.step(address(at), Event::Message(host, Box::new(message)));
    }

    /// Gives a command to a machine; returns its number in `answers`.
    pub fn command(&mut self, at: usize, command: Command) -> u64 {
        self.last_command += 1;
        self.step(address(at), Event::Command(self.last_command, command));
        self.last_command
    }

    /// Commands a configuration of this version at a machine; returns its number.
    pub fn configure(&mut self, at: usize, version: u64) -> u64 {
        let document = Arc::from(version.to_string().as_bytes());
        let change = Change::Configure { version, document };
        self.command(at, Command::Change(change))
    }

    /// Number of machines that vote.
    pub fn voting(&self) -> usize {
        let modes = self
            .machines
            .values()
            .filter_map(|machine| machine.controller.as_ref()?.mode());
        modes.filter(|mode| *mode == Mode::Voting).count()
    }

    /// The state that a running machine knows to be chosen.
    pub fn state(&self, at: usize) -> Arc<State> {
        let controller = self.machines[&address(at)].controller.as_ref();
        let state = controller.and_then(Controller::state);
        state.expect("a chosen state").clone()
    }

    /// Revision of the state that a machine knows to be chosen.
    pub fn revision(&self, at: usize) -> Option<u64> {
        let controller = self.machines.get(&address(at))?.controller.as_ref()?;
        controller.state().map(|state| state.revision)
    }

    /// Whether a machine is in contact with a majority.
    pub fn has_quorum(&self, at: usize) -> bool {
        let machine = self.machines.get(&address(at));
        let controller = machine.and_then(|machine| machine.controller.as_ref());
        controller.is_some_and(Controller::has_quorum)
    }

    /// Lets time pass in steps of 5 ms; only messages of isolated machines are lost.
    pub fn advance(&mut self, span: Span) {
        let end = self.now.after(span);
        while self.now < end {
            self.now = self.now.after(Span::from_ms(5));
            self.tick();
            for _ in 0..3 {
                self.sync_all();
                self.deliver_all();
            }
        }
    }

    /// Ticks all machines.
    pub fn tick(&mut self) {
        let running = self.machines.keys().copied();
        let running = running.filter(|address| !self.frozen.contains(address));
        for address in running.collect::<Vec<_>>() {
            self.step(address, Event::Tick);
        }
    }

    /// Syncs all written records and reports it.
    pub fn sync_all(&mut self) {
        for address in self.machines.keys().copied().collect::<Vec<_>>() {
            let Some(machine) = self.machines.get_mut(&address) else {
                continue;
            };
            let written = std::mem::take(&mut machine.written);
            let Some(last) = written.last().map(|(number, _)| *number) else {
                continue;
            };
            machine
                .synced
                .extend(written.into_iter().map(|(_, record)| record));
            self.step(address, Event::Synced(last));
        }
    }

    /// Delivers all messages in flight; those of isolated machines are lost.
    pub fn deliver_all(&mut self) {
        for (from, to, message) in std::mem::take(&mut self.messages) {
            if self.isolated.contains(&from) || self.isolated.contains(&to) {
                continue;
            }
            let between = self.machines.contains_key(&from) && self.machines.contains_key(&to);
            if between && self.links.loses(from, to, &message) {
                continue;
            }
            match message {
                message if self.frozen.contains(&to) => self.messages.push((from, to, message)),
                Message::Feed(feed) => self.deliver_feed(from, to, *feed),
                message => self.links.push(self.now, from, to, message),
            }
            self.deliver_due();
        }
        self.deliver_due();
    }

    /// Lets machines handle the messages that are due.
    fn deliver_due(&mut self) {
        for (from, to, message) in self.links.take_due(self.now) {
            self.step(to, Event::Message(from, Box::new(message)));
        }
    }

    fn deliver_feed(&mut self, from: SocketAddr, to: SocketAddr, feed: Feed) {
        self.feeds.insert(to, feed.clone());
        self.inbox.push_back((from, to, feed));
        if self.inbox.len() > MESSAGES_MAX {
            self.inbox.pop_front();
        }
    }

    /// Loses the message in flight at index `pick`, modulo their number.
    pub fn drop_message(&mut self, pick: usize) {
        if !self.messages.is_empty() {
            let pick = pick % self.messages.len();
            self.messages.swap_remove(pick);
        }
    }

    fn step(&mut self, at: SocketAddr, event: Event) {
        let now = self.now;
        let machine = self.machines.get_mut(&at);
        if let Some(controller) = machine.and_then(|machine| machine.controller.as_mut()) {
            let actions = controller.step(now, event);
            self.apply(at, actions);
        }
    }

    fn apply(&mut self, at: SocketAddr, actions: Vec<Action>) {
        let mut read = None;
        for action in actions {
            let Some(machine) = self.machines.get_mut(&at) else {
                return;
            };
            match action {
                Action::Send(to, message) => {
                    self.ballots += u64::from(is_prepare(&message));
                    self.messages.push((at, to, message));
                }
                Action::Persist(number, record) => {
                    if self.counts_records {
                        let bytes = postcard::to_stdvec(&record).expect("a record");
                        self.written += bytes.len();
                    }
                    machine.written.push((number, record));
                }
                Action::Replace(records) => {
                    machine.written.clear();
                    machine.synced = records;
                }
                Action::Answer(id, outcome) => drop(self.answers.insert(id, outcome)),
                Action::ReadList(started) => {
                    self.reads.push((at, started));
                    read = Some(started);
                }
                Action::Note(_) => {}
            }
        }
        let surplus = self.messages.len().saturating_sub(MESSAGES_MAX);
        self.messages.drain(..surplus);
        if let Some(started) = read.filter(|_| self.fleet.is_some()) {
            self.step(at, Event::ListRead(started, self.fleet.clone()));
        }
    }
}
