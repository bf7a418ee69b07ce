//! The counter as a service: one thread holds the member, the log and the totals; connections and the other members have threads that only do
//! I/O. What came together is agreed on and synced together.
use crate::disk::Disk;
use crate::log::{Entry, Log, Snapshot, Vow, Wrong};
use crate::member::{Id, Member, Message, Out};
use crate::totals::{Add, Totals, LONGEST_LIFE};
use crate::wire::{self, Call, Said};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// One member, and where it and the others are.
#[derive(Clone, Debug)]
pub struct Place {
    pub id: Id,
    /// Where calls come in.
    pub listen: SocketAddr,
    /// Where each member hears the others, this one included.
    pub members: BTreeMap<Id, SocketAddr>,
}

/// Times, seconds.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// A leader says so that often.
    pub beat: f64,
    /// Not heard of for between once and twice that, it is taken for gone.
    pub patience: f64,
    /// A call that is not agreed on by then is given up: its connection ends, for it may be agreed on yet.
    pub call: f64,
    /// The longest that a name lives.
    pub longest_life: f64,
}

impl Default for Times {
    fn default() -> Times {
        Times { beat: 0.02, patience: 0.15, call: 0.5, longest_life: LONGEST_LIFE }
    }
}

/// The log is begun anew behind a snapshot once it has so many bytes.
const LOG: u64 = 64 << 20;
/// Inputs that are taken in together at the most.
const TOGETHER: usize = 4096;

/// What members say to each other: what is agreed on, and calls that one passes on to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Envelope {
    Agree(Message<Add>),
    Call { no: u64, add: Add },
    Answer { no: u64, said: Passed },
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
enum Passed {
    Total(f64),
    /// Nothing was added.
    Nothing,
    Unknown,
}

/// Where an answer goes: the connection's writer, with the call's place on it.
#[derive(Clone)]
struct Asker {
    to: Sender<(u64, Said)>,
    place: u64,
}

enum Input {
    Call(Add, Asker),
    From(Id, Envelope),
    Stop,
}

enum Waits {
    Here(Asker),
    /// Another member's, under its own number.
    There(Id, u64),
}

struct Core<D> {
    place: Place,
    times: Times,
    member: Member<Add>,
    log: Log<D>,
    totals: Totals,
    applied: u64,
    rng: ChaCha8Rng,
    start: Instant,
    heard: f64,
    next_beat: f64,
    next_look: f64,
    patience: f64,
    peers: BTreeMap<Id, Sender<Envelope>>,
    /// Calls that wait for their entry: by index, with the term under which it was proposed.
    waits: BTreeMap<u64, (u64, f64, Waits)>,
    /// Calls that were passed on.
    passed: HashMap<u64, (f64, Asker)>,
    calls: u64,
    told: Option<Id>,
}

/// A running member; it ends when this is dropped.
pub struct Service {
    input: Sender<Input>,
    thread: Option<std::thread::JoinHandle<Result<(), Wrong>>>,
    pub listen: SocketAddr,
    others: SocketAddr,
    stop: Arc<std::sync::atomic::AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

/// Opens the log and serves.
pub fn start<D: Disk + Send + 'static>(
    disk: D,
    place: Place,
    times: Times,
    (calls, others): (TcpListener, TcpListener),
    seed: u64,
) -> Result<Service, Wrong> {
    let (log, found) = Log::open::<Totals, Add>(disk)?;
    if found.torn > 0 {
        eprintln!("quillramp-counter: {} bytes of an unfinished write dropped", found.torn);
    }
    let ids: Vec<Id> = place.members.keys().copied().collect();
    let base = (found.snapshot.index, found.snapshot.term);
    let member = Member::new(place.id, &ids, found.vow, base, found.entries);
    let (input, inputs) = channel();
    let stop: Arc<std::sync::atomic::AtomicBool> = Arc::default();
    let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
    let mut peers = BTreeMap::new();
    for (id, at) in place.members.iter().filter(|(id, _)| **id != place.id) {
        let (to, from) = channel();
        let (at, own, stop) = (*at, place.id, stop.clone());
        spawn(move || speaks(at, own, &from, &stop));
        peers.insert(*id, to);
    }
    let (listen, hears) = (calls.local_addr()?, others.local_addr()?);
    let (to_core, kept, over) = (input.clone(), open.clone(), stop.clone());
    spawn(move || {
        accepts(&calls, &kept, &over, move |stream| converses(stream, &to_core, times.longest_life))
    });
    let (to_core, kept, over) = (input.clone(), open.clone(), stop.clone());
    spawn(move || accepts(&others, &kept, &over, move |stream| listens(stream, &to_core)));
    let now = Instant::now();
    let mut core = Core {
        member,
        log,
        totals: found.snapshot.state,
        applied: base.0,
        rng: ChaCha8Rng::seed_from_u64(seed ^ place.id),
        start: now,
        heard: 0.0,
        next_beat: 0.0,
        next_look: 0.0,
        patience: 0.0,
        peers,
        waits: BTreeMap::new(),
        passed: HashMap::new(),
        calls: 0,
        told: None,
        place,
        times,
    };
    core.waits_anew();
    let thread = std::thread::Builder::new().name("core".into()).spawn(move || core.run(&inputs));
    Ok(Service { input, thread: Some(thread?), listen, others: hears, stop, open })
}

impl Service {
    /// Ends it: what was agreed on is on the disk.
    pub fn stop(mut self) -> Result<(), Wrong> {
        self.ends()
    }

    /// Waits until it ends by itself, as it does when its disk fails.
    pub fn wait(&mut self) -> Result<(), Wrong> {
        self.thread.take().map_or(Ok(()), |t| t.join().unwrap_or(Ok(())))
    }

    /// What ends it from another thread.
    pub fn stopper(&self) -> impl FnOnce() + Send + 'static {
        let input = self.input.clone();
        move || drop(input.send(Input::Stop)) // it may have ended
    }

    fn ends(&mut self) -> Result<(), Wrong> {
        self.stop.store(true, std::sync::atomic::Ordering::Relaxed);
        let _ = self.input.send(Input::Stop); // it may have ended
        for at in [self.listen, self.others] {
            let _ = TcpStream::connect(at); // wakes the accept
        }
        for stream in self.open.lock().unwrap_or_else(|e| e.into_inner()).drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both); // it may have ended
        }
        self.wait()
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        let _ = self.ends(); // its error was for whoever stopped it
    }
}

fn accepts(
    listener: &TcpListener,
    open: &Mutex<Vec<TcpStream>>,
    stop: &std::sync::atomic::AtomicBool,
    serve: impl Fn(TcpStream) + Clone + Send + 'static,
) {
    for stream in listener.incoming() {
        if stop.load(std::sync::atomic::Ordering::Relaxed) {
            return;
        }
        let Ok(stream) = stream else {
            sleep(Duration::from_millis(5)); // out of descriptors, say
            continue;
        };
        let _ = stream.set_nodelay(true); // else answers wait for each other
        {
            let mut open = open.lock().unwrap_or_else(|e| e.into_inner());
            open.retain(|s| s.peer_addr().is_ok());
            open.extend(stream.try_clone());
        }
        let serve = serve.clone();
        spawn(move || serve(stream));
    }
}

/// A front door's connection: calls go to the core as they are read, answers leave in their order.
fn converses(stream: TcpStream, core: &Sender<Input>, longest_life: f64) {
    let Ok(mut out) = stream.try_clone() else { return };
    let (to, answers) = channel::<(u64, Said)>();
    let writer = spawn(move || {
        let (mut next, mut early) = (0, BTreeMap::new());
        let mut bytes = vec![];
        while let Ok((place, said)) = answers.recv() {
            early.insert(place, said);
            while let Ok((place, said)) = answers.try_recv() {
                early.insert(place, said);
            }
            let mut ends = false;
            while let Some(said) = early.remove(&next) {
                next += 1;
                ends = !said.encode(&mut bytes);
                if ends {
                    break;
                }
            }
            if out.write_all(&bytes).is_err() || ends {
                break;
            }
            bytes.clear();
        }
        let _ = out.shutdown(std::net::Shutdown::Both); // it may have ended
    });
    let mut from = BufReader::new(stream);
    let mut place = 0;
    while let Ok(Some(call)) = wire::call(&mut from) {
        let asker = Asker { to: to.clone(), place };
        place += 1;
        let told = match call {
            Call::Add(name, by, lives) => {
                let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
                let add = Add { name, by, lives: lives.min(longest_life), at };
                if add.well() {
                    core.send(Input::Call(add, asker)).is_ok()
                } else {
                    asker.to.send((asker.place, Said::NoSuchCall)).is_ok()
                }
            }
            Call::Other => asker.to.send((asker.place, Said::NoSuchCall)).is_ok(),
        };
        if !told {
            break;
        }
    }
    drop(to);
    let _ = writer.join();
}

/// Another member's connection: what it says goes to the core.
fn listens(stream: TcpStream, core: &Sender<Input>) {
    let mut from = BufReader::new(stream);
    let Ok(Some(id)) = wire::frame::<Id>(&mut from) else { return };
    while let Ok(Some(envelope)) = wire::frame(&mut from) {
        if core.send(Input::From(id, envelope)).is_err() {
            return;
        }
    }
}

/// Says to another member what the core wants said; what can't be said now is lost.
fn speaks(at: SocketAddr, own: Id, from: &Receiver<Envelope>, stop: &std::sync::atomic::AtomicBool) {
    let mut stream: Option<TcpStream> = None;
    let mut bytes = vec![];
    while let Ok(first) = from.recv() {
        if stop.load(std::sync::atomic::Ordering::Relaxed) {
            return;
        }
        bytes.clear();
        if stream.is_none() {
            stream = TcpStream::connect_timeout(&at, Duration::from_millis(100)).ok();
            if let Some(s) = &stream {
                let _ = s.set_nodelay(true);
                let _ = s.set_write_timeout(Some(Duration::from_secs(1)));
                wire::framed(&own, &mut bytes);
            }
        }
        wire::framed(&first, &mut bytes);
        while let Ok(more) = from.try_recv() {
            wire::framed(&more, &mut bytes);
        }
        if let Some(s) = &mut stream {
            if s.write_all(&bytes).is_err() {
                stream = None;
            }
        }
    }
}

impl<D: Disk> Core<D> {
    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// A leader has been heard of, or there is none: so long for the next one.
    fn waits_anew(&mut self) {
        self.heard = self.now();
        self.patience = self.times.patience * self.rng.gen_range(1.0..2.0);
    }

    fn run(mut self, inputs: &Receiver<Input>) -> Result<(), Wrong> {
        let mut batch = vec![];
        loop {
            let wait = Duration::from_secs_f64((self.times.beat / 4.0).max(0.001));
            match inputs.recv_timeout(wait) {
                Ok(input) => batch.push(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            while batch.len() < TOGETHER {
                let Ok(input) = inputs.try_recv() else { break };
                batch.push(input);
            }
            let mut out = Out::default();
            let mut proposed = false;
            for input in batch.drain(..) {
                match input {
                    Input::Stop => return self.log.flush(),
                    Input::Call(add, asker) => proposed |= self.call(add, Waits::Here(asker), &mut out),
                    Input::From(from, Envelope::Call { no, add }) => {
                        proposed |= self.call(add, Waits::There(from, no), &mut out);
                    }
                    Input::From(_, Envelope::Answer { no, said }) => self.answered(no, said),
                    Input::From(from, Envelope::Agree(message)) => {
                        let leads = matches!(message, Message::Append { .. } | Message::Install { .. });
                        let voted = self.member.vow;
                        self.member.hears(from, message, &mut out);
                        let granted = self.member.vow != voted && self.member.vow.vote == Some(from);
                        if granted || leads && self.member.leader() == Some(from) {
                            self.waits_anew();
                        }
                        self.settle(&mut out)?;
                    }
                }
            }
            if proposed {
                self.member.spreads(&mut out);
            }
            self.time(&mut out);
            self.settle(&mut out)?;
        }
    }

    fn time(&mut self, out: &mut Out<Add>) {
        let now = self.now();
        if self.member.leads() {
            if now >= self.next_beat {
                self.next_beat = now + self.times.beat;
                self.member.beats(out);
            }
            if now >= self.next_look {
                self.next_look = now + 2.0 * self.times.patience;
                self.member.looks_round();
                if !self.member.leads() {
                    self.waits_anew();
                }
            }
        } else if now > self.heard + self.patience {
            self.waits_anew();
            self.member.times_out(out);
            self.next_look = now + 2.0 * self.times.patience;
        }
        // What was not agreed on in time may be yet: nobody can say what came of it.
        while let Some(e) = self.waits.first_entry().filter(|e| e.get().1 + self.times.call < now) {
            let (_, _, waits) = e.remove();
            self.answer(waits, Passed::Unknown);
        }
        let late: Vec<u64> =
            self.passed.iter().filter(|(_, p)| p.0 + self.times.call < now).map(|(no, _)| *no).collect();
        late.into_iter().for_each(|no| self.answered(no, Passed::Unknown));
        let leader = self.member.leader();
        if leader != self.told {
            let says = leader.map_or("nobody leads".into(), |l| format!("member {l} leads"));
            eprintln!("quillramp-counter: member {}, term {}: {says}", self.place.id, self.member.vow.term);
            self.told = leader;
        }
    }

    /// Takes a call in, or passes it on; whether something was proposed.
    fn call(&mut self, add: Add, waits: Waits, out: &mut Out<Add>) -> bool {
        let now = self.now();
        if let Some(index) = self.member.proposes(add.clone(), out) {
            let before = self.waits.insert(index, (self.member.vow.term, now, waits));
            // Whoever waited for an entry that another leader has cut off.
            if let Some((_, _, waits)) = before {
                self.answer(waits, Passed::Unknown);
            }
            return true;
        }
        match (waits, self.member.leader().and_then(|l| self.peers.get(&l))) {
            (Waits::Here(asker), Some(leader)) => {
                self.calls += 1;
                let _ = leader.send(Envelope::Call { no: self.calls, add }); // its thread lasts as long as we do
                self.passed.insert(self.calls, (now, asker));
            }
            // Nobody leads, or not the one that it was passed on to: nothing was added.
            (waits, _) => self.answer(waits, Passed::Nothing),
        }
        false
    }

    fn answered(&mut self, no: u64, said: Passed) {
        if let Some((_, asker)) = self.passed.remove(&no) {
            self.answer(Waits::Here(asker), said);
        }
    }

    fn answer(&self, waits: Waits, said: Passed) {
        match waits {
            Waits::Here(asker) => {
                let says = match said {
                    Passed::Total(total) => Said::Total(total),
                    Passed::Nothing => Said::TurnedAway,
                    Passed::Unknown => Said::Unknown,
                };
                let _ = asker.to.send((asker.place, says)); // the caller may have gone
            }
            Waits::There(id, no) => {
                if let Some(peer) = self.peers.get(&id) {
                    let _ = peer.send(Envelope::Answer { no, said });
                }
            }
        }
    }

    /// Writes down, then sends, then takes in what is agreed on and answers.
    fn settle(&mut self, out: &mut Out<Add>) -> Result<(), Wrong> {
        let out = std::mem::take(out);
        if let Some((upto, state)) = &out.installed {
            let state: Totals = postcard::from_bytes(state).unwrap_or_default();
            self.keeps(*upto, state.clone())?;
            (self.totals, self.applied) = (state, upto.0);
        }
        if let Some(vow) = out.vow {
            self.log.vow(vow);
        }
        if let Some(cut) = out.cut {
            self.log.cut(cut);
        }
        out.entries.iter().for_each(|e| self.log.entry(e));
        self.log.flush()?;
        for (to, message) in out.send {
            if let Some(peer) = self.peers.get(&to) {
                let _ = peer.send(Envelope::Agree(message)); // its thread lasts as long as we do
            }
        }
        for to in out.install {
            let (term, upto) = (self.member.vow.term, (self.applied, self.term_of(self.applied)));
            let state = postcard::to_stdvec(&self.totals).expect("plain values");
            if let Some(peer) = self.peers.get(&to) {
                let _ = peer.send(Envelope::Agree(Message::Install { term, upto, state }));
            }
        }
        self.applies()?;
        Ok(())
    }

    fn term_of(&self, index: u64) -> u64 {
        self.member.entry(index).map_or(self.member.base.1, |e| e.term)
    }

    fn applies(&mut self) -> Result<(), Wrong> {
        while self.applied < self.member.commit {
            let Some(Entry { index, term, command }) = self.member.entry(self.applied + 1).cloned() else {
                break;
            };
            self.applied = index;
            let total = command.map(|add| self.totals.add(&add));
            if let Some((proposed, _, waits)) = self.waits.remove(&index) {
                // Another leader's entry may stand there by now: what became of ours nobody knows here.
                let said = total.filter(|_| proposed == term).map_or(Passed::Unknown, Passed::Total);
                self.answer(waits, said);
            }
        }
        if self.log.size() > LOG {
            let upto = (self.applied, self.term_of(self.applied));
            self.keeps(upto, self.totals.clone())?;
            self.member.compacts(upto.0);
        }
        Ok(())
    }

    /// A whole state in place of what led to it.
    fn keeps(&mut self, upto: (u64, u64), state: Totals) -> Result<(), Wrong> {
        let snapshot = Snapshot { index: upto.0, term: upto.1, state };
        let rest = self.member.behind(upto.0).to_vec();
        self.log.snapshot(&snapshot, self.member.vow, &rest)
    }
}

/// Vows of a log, for those who look at one.
pub fn vow_of(vow: &Vow) -> String {
    format!("term {}, vote {}", vow.term, vow.vote.map_or("none".into(), |v| v.to_string()))
}
