//! The log: records with a checksum each, snapshots, and what is found at a start. It decides what of a damaged end was never promised to
//! anybody, and says so where more than that is damaged.
use crate::disk::Disk;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::io;

/// One command, where it stands in the order of all.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry<C> {
    pub index: u64,
    pub term: u64,
    /// None: a mark that a leader sets when it begins.
    pub command: Option<C>,
}

/// What a member must not forget beside its entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Vow {
    pub term: u64,
    pub vote: Option<u64>,
}

#[derive(Serialize, Deserialize)]
enum Record<C> {
    Entry(Entry<C>),
    Vow(Vow),
    /// Entries from here on no longer hold.
    Cut(u64),
}

/// The state after an entry, so that those up to it need not be kept.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot<S> {
    pub index: u64,
    pub term: u64,
    pub state: S,
}

/// What can't be gone on with.
#[derive(Debug)]
pub enum Wrong {
    Disk(io::Error),
    /// A file is damaged where it was promised to be whole.
    Damaged {
        file: String,
        at: u64,
        why: &'static str,
    },
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Wrong::Disk(e) => write!(f, "{e}"),
            Wrong::Damaged { file, at, why } => write!(f, "{file}: damaged at byte {at}: {why}"),
        }
    }
}

impl From<io::Error> for Wrong {
    fn from(e: io::Error) -> Wrong {
        Wrong::Disk(e)
    }
}

/// What was found at the start.
#[derive(Clone, Debug, PartialEq)]
pub struct Found<S, C> {
    pub vow: Vow,
    pub snapshot: Snapshot<S>,
    pub entries: Vec<Entry<C>>,
    /// Bytes of an unfinished write that were dropped.
    pub torn: u64,
}

const HEAD: usize = 8;
/// A longer record is none.
const LONGEST: usize = 64 << 20;

fn framed<T: Serialize>(value: &T) -> Vec<u8> {
    let body = postcard::to_stdvec(value).expect("plain values");
    let mut bytes = Vec::with_capacity(HEAD + body.len());
    bytes.extend((body.len() as u32).to_le_bytes());
    bytes.extend(sum(&body).to_le_bytes());
    bytes.extend(body);
    bytes
}

/// The length is part of what the checksum covers.
fn sum(body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&(body.len() as u32).to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}

/// The record that begins there: its body, and where the next one begins.
fn record(bytes: &[u8], at: usize) -> Option<(&[u8], usize)> {
    let word = |at: usize| bytes.get(at..at + 4)?.try_into().ok().map(u32::from_le_bytes);
    let (length, checked) = (word(at)? as usize, word(at + 4)?);
    if length == 0 || length > LONGEST {
        return None;
    }
    let body = bytes.get(at + HEAD..at + HEAD + length)?;
    (sum(body) == checked).then_some((body, at + HEAD + length))
}

fn decoded<T: DeserializeOwned>(body: &[u8], file: &str, at: usize) -> Result<T, Wrong> {
    postcard::from_bytes(body).map_err(|_| Wrong::Damaged {
        file: file.to_owned(),
        at: at as u64,
        why: "it is of another kind",
    })
}

const LOG: &str = "log-";
const SNAPSHOT: &str = "snapshot-";
const NEW: &str = "new-";

fn named(kind: &str, index: u64) -> String {
    format!("{kind}{index:020}")
}

/// Names of a kind with the index that each begins at, in order.
fn of_kind(names: &[String], kind: &str) -> Vec<(u64, String)> {
    let index = |n: &String| Some((n.strip_prefix(kind)?.parse().ok()?, n.clone()));
    let mut all: Vec<(u64, String)> = names.iter().filter_map(index).collect();
    all.sort();
    all
}

pub struct Log<D> {
    disk: D,
    file: String,
    /// What waits to be written with the next sync.
    pending: Vec<u8>,
    /// Bytes of the file in use.
    size: u64,
}

impl<D: Disk> Log<D> {
    /// Opens it, with what it holds. The end of a write that was cut short is dropped; anything else that is damaged is said.
    pub fn open<S, C>(mut disk: D) -> Result<(Log<D>, Found<S, C>), Wrong>
    where
        S: Serialize + DeserializeOwned + Default,
        C: Serialize + DeserializeOwned,
    {
        let names = disk.names()?;
        for name in names.iter().filter(|n| n.starts_with(NEW)) {
            disk.remove(name)?; // it was never finished
        }
        let mut snapshot = Snapshot::default();
        if let Some((_, name)) = of_kind(&names, SNAPSHOT).pop() {
            let bytes = disk.read(&name)?;
            let damaged = |why| Wrong::Damaged { file: name.clone(), at: 0, why };
            let (body, end) = record(&bytes, 0).ok_or_else(|| damaged("its checksum does not fit"))?;
            if end != bytes.len() {
                return Err(damaged("there is something behind it"));
            }
            snapshot = decoded(body, &name, 0)?;
        }
        let logs = of_kind(&names, LOG);
        let mut found = Found { vow: Vow::default(), snapshot, entries: vec![], torn: 0 };
        let mut size = 0;
        for (i, (_, name)) in logs.iter().enumerate() {
            let bytes = disk.read(name)?;
            let mut at = 0;
            while at < bytes.len() {
                let Some((body, next)) = record(&bytes, at) else {
                    let last = i + 1 == logs.len();
                    // Behind the end of a write that was cut short there is nothing whole: nobody writes on before it is synced.
                    if !last || (at + 1..bytes.len()).any(|later| record(&bytes, later).is_some()) {
                        let why = "its checksum does not fit";
                        return Err(Wrong::Damaged { file: name.clone(), at: at as u64, why });
                    }
                    found.torn += (bytes.len() - at) as u64;
                    disk.cut(name, at as u64)?;
                    disk.sync(name)?;
                    break;
                };
                replay(&mut found, decoded(body, name, at)?, (name, at))?;
                at = next;
            }
            size = at as u64;
        }
        found.entries.retain(|e| e.index > found.snapshot.index);
        if let Some(first) = found.entries.first().filter(|e| e.index != found.snapshot.index + 1) {
            let why = "entries between the snapshot and the log are missing";
            let file = logs.last().map_or(String::new(), |l| l.1.clone());
            return Err(Wrong::Damaged { file, at: first.index, why });
        }
        let file = logs.last().map_or_else(|| named(LOG, found.snapshot.index + 1), |l| l.1.clone());
        let mut log = Log { disk, file, pending: vec![], size };
        if logs.is_empty() {
            log.vow(found.vow);
            log.flush()?;
            log.disk.sync_folder()?;
        }
        Ok((log, found))
    }

    /// Writes what follows with the next flush.
    pub fn entry<C: Serialize + Clone>(&mut self, entry: &Entry<C>) {
        self.pending.extend(framed(&Record::Entry(entry.clone())));
    }
    pub fn vow(&mut self, vow: Vow) {
        self.pending.extend(framed(&Record::<()>::Vow(vow)));
    }
    pub fn cut(&mut self, from: u64) {
        self.pending.extend(framed(&Record::<()>::Cut(from)));
    }

    /// All that was written until now lasts once this returns. After an error nothing is known of the end of the file: the log is to be
    /// opened anew.
    pub fn flush(&mut self) -> Result<(), Wrong> {
        if self.pending.is_empty() {
            return Ok(());
        }
        self.disk.append(&self.file, &self.pending)?;
        self.disk.sync(&self.file)?;
        self.size += self.pending.len() as u64;
        self.pending.clear();
        Ok(())
    }

    pub fn size(&self) -> u64 {
        self.size
    }

    /// A state takes the place of all entries up to its own; `rest` are those behind it. Whatever happens meanwhile, a start finds
    /// either what was there before or this.
    pub fn snapshot<S: Serialize, C: Serialize + Clone>(
        &mut self,
        snapshot: &Snapshot<S>,
        vow: Vow,
        rest: &[Entry<C>],
    ) -> Result<(), Wrong> {
        self.flush()?;
        let before = self.disk.names()?;
        // A log of its own first: until the snapshot is there it only says again what the one before it says.
        let next = named(LOG, snapshot.index + 1);
        if next != self.file {
            let mut bytes = framed(&Record::<()>::Vow(vow));
            rest.iter().for_each(|e| bytes.extend(framed(&Record::Entry(e.clone()))));
            self.whole(&next, &bytes)?;
            (self.file, self.size) = (next, bytes.len() as u64);
        }
        self.whole(&named(SNAPSHOT, snapshot.index), &framed(snapshot))?;
        let old = |(index, name): &(u64, String), here: u64| (*index < here).then(|| name.clone());
        let logs =
            of_kind(&before, LOG).iter().filter_map(|l| old(l, snapshot.index + 1)).collect::<Vec<_>>();
        let states =
            of_kind(&before, SNAPSHOT).iter().filter_map(|s| old(s, snapshot.index)).collect::<Vec<_>>();
        for name in logs.into_iter().chain(states) {
            self.disk.remove(&name)?;
        }
        self.disk.sync_folder()?;
        Ok(())
    }

    /// A file that is there whole or not at all.
    fn whole(&mut self, name: &str, bytes: &[u8]) -> Result<(), Wrong> {
        let new = format!("{NEW}{name}");
        if self.disk.names()?.contains(&new) {
            self.disk.remove(&new)?;
        }
        self.disk.append(&new, bytes)?;
        self.disk.sync(&new)?;
        self.disk.rename(&new, name)?;
        self.disk.sync_folder()?;
        Ok(())
    }

    pub fn into_disk(self) -> D {
        self.disk
    }
}

fn replay<S, C>(found: &mut Found<S, C>, record: Record<C>, (file, at): (&str, usize)) -> Result<(), Wrong> {
    match record {
        Record::Vow(vow) => found.vow = vow,
        Record::Cut(from) => found.entries.retain(|e| e.index < from),
        Record::Entry(entry) => {
            // A log that was begun behind a snapshot says again what stood in the one before.
            found.entries.retain(|e| e.index < entry.index);
            if found.entries.last().is_some_and(|e| e.index + 1 != entry.index) {
                let why = "an entry is missing before it";
                return Err(Wrong::Damaged { file: file.to_owned(), at: at as u64, why });
            }
            found.entries.push(entry);
        }
    }
    Ok(())
}
