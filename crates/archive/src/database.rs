//! The archive's file: an embedded store, opened for each step, so that other commands may
//! read while one records. A step is one transaction: whenever a process is killed, the file
//! holds the last whole step.

use std::cell::{RefCell, RefMut};
use std::ops::{Deref, DerefMut};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use redb::{
    Database, ReadOnlyTable, ReadTransaction, ReadableTable, Table, TableDefinition,
    WriteTransaction,
};
use serde::de::DeserializeOwned;

use salttiller_records::history::{last_whole_revisions, Fingerprint, RECOGNISED_CHANGES};
use salttiller_records::units::Micros;

use crate::contain::contained;
use crate::error::ArchiveError;
use crate::fault_injection::{is_left_out, Guard};
use crate::form::{
    decode_entry, encode_entry, Change, ChangeBatch, Gap, Image, RecordDigest, Segment,
    StoredRecord,
};
use crate::recorder::Action;

/// The form of the file that this version writes, and the highest that it reads.
pub const FORMAT: u64 = 1;

/// How long a step waits for another process that has the file open.
const OPEN_WAIT: Duration = Duration::from_secs(10);
const OPEN_RETRY: Duration = Duration::from_millis(20);
/// Memory for pages of the embedded store.
const CACHE_BYTES: usize = 16 * 1024 * 1024;
/// The first bytes of a file of the embedded store.
const MAGIC: &[u8] = b"redb";

type Entries = TableDefinition<'static, u64, &'static [u8]>;
type Batches = TableDefinition<'static, (u64, u64), &'static [u8]>;
type Records = TableDefinition<'static, (u64, &'static str), &'static [u8]>;

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("salttiller-archive");
const SEGMENTS: Entries = TableDefinition::new("segments");
const IMAGES: Entries = TableDefinition::new("images");
const RECORDS: Records = TableDefinition::new("image-records");
const BATCHES: Batches = TableDefinition::new("change-batches");

const META_FORMAT: &str = "format";
const META_DEPLOYMENT: &str = "deployment";

/// An archive's file.
#[derive(Debug)]
pub struct Archive {
    path: PathBuf,
    deployment: String,
    held: Option<RefCell<Database>>,
}

/// The store, open for a step or for as long as the archive is held.
enum OpenDatabase<'a> {
    ForStep(Box<Database>),
    Held(RefMut<'a, Database>),
}

impl Deref for OpenDatabase<'_> {
    type Target = Database;
    fn deref(&self) -> &Database {
        match self {
            OpenDatabase::ForStep(db) => db,
            OpenDatabase::Held(db) => db,
        }
    }
}

impl DerefMut for OpenDatabase<'_> {
    fn deref_mut(&mut self) -> &mut Database {
        match self {
            OpenDatabase::ForStep(db) => db,
            OpenDatabase::Held(db) => db,
        }
    }
}

impl Archive {
    /// Opens an archive, or creates it if there is no such file.
    pub fn open_or_create(path: &Path, deployment: &str) -> Result<Self, ArchiveError> {
        if !path.exists() {
            create(path, deployment)?;
        }
        Archive::open(path, Some(deployment))
    }

    /// Opens an archive; with `deployment` only if it is of that one.
    pub fn open(path: &Path, deployment: Option<&str>) -> Result<Self, ArchiveError> {
        check_file(path)?;
        let (format, found): (u64, String) = contained(path, || {
            let db = open_database(path)?;
            let txn = begin_read(path, &db)?;
            Ok((
                meta(path, &txn, META_FORMAT)?,
                meta(path, &txn, META_DEPLOYMENT)?,
            ))
        })?;
        if format > FORMAT {
            return Err(ArchiveError::Newer {
                path: path.to_path_buf(),
                found: format,
                supported: FORMAT,
            });
        }
        if deployment.is_some_and(|expected| expected != found) {
            return Err(ArchiveError::OtherDeployment {
                path: path.to_path_buf(),
                found,
                expected: deployment.unwrap_or_default().to_owned(),
            });
        }
        Ok(Archive {
            path: path.to_path_buf(),
            deployment: found,
            held: None,
        })
    }

    /// Keeps the file open, so that no other process can read it meanwhile. Opening it takes
    /// some milliseconds, which matters for many steps in a row.
    pub fn hold(mut self) -> Result<Self, ArchiveError> {
        self.held = Some(RefCell::new(open_database(&self.path)?));
        Ok(self)
    }

    fn database(&self) -> Result<OpenDatabase<'_>, ArchiveError> {
        match &self.held {
            Some(held) => Ok(OpenDatabase::Held(held.borrow_mut())),
            None => open_database(&self.path).map(|db| OpenDatabase::ForStep(Box::new(db))),
        }
    }

    /// The file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// The deployment whose records it holds.
    pub fn deployment(&self) -> &str {
        &self.deployment
    }

    /// Carries out a step: all actions or none.
    pub fn apply(&self, actions: &[Action], wall: Micros) -> Result<(), ArchiveError> {
        self.write(|step| {
            for action in actions {
                step.apply(action, wall)?;
            }
            Ok(())
        })
    }

    /// Drops an image that a killed process left incomplete.
    pub fn drop_incomplete_image(&self) -> Result<(), ArchiveError> {
        self.write(|step| step.drop_incomplete_image())
    }

    pub(crate) fn write<T>(
        &self,
        change: impl FnOnce(&mut Step<'_>) -> Result<T, ArchiveError>,
    ) -> Result<T, ArchiveError> {
        let fail = |e: redb::Error| ArchiveError::store(&self.path, e);
        contained(&self.path, || {
            let db = self.database()?;
            let txn = db.begin_write().map_err(|e| fail(e.into()))?;
            let result = Step::open(&self.path, &txn).and_then(|mut step| change(&mut step))?;
            txn.commit().map_err(|e| fail(e.into()))?;
            Ok(result)
        })
    }

    /// Reads a consistent view of the archive.
    pub fn read<T>(
        &self,
        look: impl FnOnce(&View) -> Result<T, ArchiveError>,
    ) -> Result<T, ArchiveError> {
        contained(&self.path, || {
            let db = self.database()?;
            let txn = begin_read(&self.path, &db)?;
            look(&View::open(&self.path, &txn)?)
        })
    }

    /// Checks the embedded store's own checksums, all of them.
    pub fn check_integrity(&self) -> Result<(), ArchiveError> {
        contained(&self.path, || match self.database()?.check_integrity() {
            Ok(true) => Ok(()),
            Ok(false) => Err(ArchiveError::damaged(
                &self.path,
                "checksums of the file's pages don't agree",
            )),
            Err(e) => Err(ArchiveError::store(&self.path, e)),
        })
    }
}

/// Creates the file whole or not at all: a process killed midway leaves no half of one.
fn create(path: &Path, deployment: &str) -> Result<(), ArchiveError> {
    let mut name = path.as_os_str().to_owned();
    name.push(format!(".new-{}", std::process::id()));
    let new = PathBuf::from(name);
    let made = initialise(&new, deployment).and_then(|()| {
        std::fs::hard_link(&new, path).map_err(|cause| ArchiveError::io(path, cause))
    });
    let _ = std::fs::remove_file(&new);
    made
}

fn initialise(path: &Path, deployment: &str) -> Result<(), ArchiveError> {
    let fail = |e: redb::Error| ArchiveError::store(path, e);
    let db = Database::create(path).map_err(|e| fail(e.into()))?;
    let txn = db.begin_write().map_err(|e| fail(e.into()))?;
    {
        let mut table = txn.open_table(META).map_err(|e| fail(e.into()))?;
        for (key, value) in [
            (META_FORMAT, encode_entry(&FORMAT)),
            (META_DEPLOYMENT, encode_entry(&deployment)),
        ] {
            table
                .insert(key, value.as_slice())
                .map_err(|e| fail(e.into()))?;
        }
    }
    Step::open(path, &txn)?;
    txn.commit().map_err(|e| fail(e.into()))
}

/// What can be said of a file without opening it as a store.
fn check_file(path: &Path) -> Result<(), ArchiveError> {
    use std::io::Read;
    let foreign = |reason: &str| ArchiveError::Foreign {
        path: path.to_path_buf(),
        reason: reason.to_owned(),
    };
    let mut file = std::fs::File::open(path).map_err(|cause| match cause.kind() {
        std::io::ErrorKind::NotFound => ArchiveError::Missing(path.to_path_buf()),
        _ => ArchiveError::io(path, cause),
    })?;
    let mut head = [0; MAGIC.len()];
    let mut read = 0;
    while read < head.len() {
        match file.read(&mut head[read..]) {
            Ok(0) => break,
            Ok(n) => read += n,
            Err(cause) => return Err(ArchiveError::io(path, cause)),
        }
    }
    match &head[..read] {
        [] => Err(foreign("the file is empty")),
        head if head == MAGIC => Ok(()),
        _ => Err(foreign("another kind of file")),
    }
}

fn open_database(path: &Path) -> Result<Database, ArchiveError> {
    let deadline = Instant::now() + OPEN_WAIT;
    loop {
        match Database::builder().set_cache_size(CACHE_BYTES).open(path) {
            Ok(db) => return Ok(db),
            Err(redb::DatabaseError::DatabaseAlreadyOpen) if Instant::now() < deadline => {
                std::thread::sleep(OPEN_RETRY);
            }
            Err(e) => return Err(ArchiveError::store(path, e)),
        }
    }
}

fn begin_read(path: &Path, db: &Database) -> Result<ReadTransaction, ArchiveError> {
    db.begin_read().map_err(|e| ArchiveError::store(path, e))
}

fn meta<T: DeserializeOwned>(
    path: &Path,
    txn: &ReadTransaction,
    key: &str,
) -> Result<T, ArchiveError> {
    let foreign = |reason: &str| ArchiveError::Foreign {
        path: path.to_path_buf(),
        reason: reason.to_owned(),
    };
    let table = match txn.open_table(META) {
        Ok(table) => table,
        Err(redb::TableError::TableDoesNotExist(_)) => {
            return Err(foreign("a store of another program"))
        }
        Err(e) => return Err(ArchiveError::store(path, e)),
    };
    let value = table.get(key).map_err(|e| ArchiveError::store(path, e))?;
    let value = value.ok_or_else(|| foreign(&format!("no {key}")))?;
    decode_entry(value.value())
        .ok_or_else(|| ArchiveError::damaged(path, format!("{key} can't be read")))
}

/// Reads an entry or says which one is damaged.
fn entry<T: DeserializeOwned>(path: &Path, name: &str, bytes: &[u8]) -> Result<T, ArchiveError> {
    decode_entry(bytes)
        .ok_or_else(|| ArchiveError::damaged(path, format!("{name} fails its checksum")))
}

/// The first key of an image's records, and the first past them.
fn records_of(image: u64) -> std::ops::Range<(u64, &'static str)> {
    (image, "")..(image + 1, "")
}

/// A consistent view of an archive.
pub struct View {
    path: PathBuf,
    segments: ReadOnlyTable<u64, &'static [u8]>,
    images: ReadOnlyTable<u64, &'static [u8]>,
    records: ReadOnlyTable<(u64, &'static str), &'static [u8]>,
    batches: ReadOnlyTable<(u64, u64), &'static [u8]>,
}

impl View {
    fn open(path: &Path, txn: &ReadTransaction) -> Result<Self, ArchiveError> {
        let fail = |e| ArchiveError::store(path, redb::Error::from(e));
        Ok(View {
            path: path.to_path_buf(),
            segments: txn.open_table(SEGMENTS).map_err(fail)?,
            images: txn.open_table(IMAGES).map_err(fail)?,
            records: txn.open_table(RECORDS).map_err(fail)?,
            batches: txn.open_table(BATCHES).map_err(fail)?,
        })
    }

    /// The file, for messages.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// All segments, oldest first.
    pub fn segments(&self) -> Result<Vec<(u64, Segment)>, ArchiveError> {
        entries(&self.path, &self.segments, "segment")
    }

    /// All images, oldest first; one that is being read has no revision.
    pub fn images(&self) -> Result<Vec<(u64, Image)>, ArchiveError> {
        entries(&self.path, &self.images, "image")
    }

    /// The complete images of a segment with their revisions, oldest first.
    pub fn complete_images(&self, segment: u64) -> Result<Vec<(u64, u64, Image)>, ArchiveError> {
        let images = self.images()?.into_iter();
        Ok(images
            .filter(|(_, image)| image.segment == segment)
            .filter_map(|(id, image)| image.revision.map(|revision| (id, revision, image)))
            .collect())
    }

    /// Calls `each` with every record of an image, in the order of the keys.
    pub fn each_record(
        &self,
        image: u64,
        mut each: impl FnMut(&str, StoredRecord) -> Result<(), ArchiveError>,
    ) -> Result<(), ArchiveError> {
        each_record(&self.path, &self.records, image, &mut each)
    }

    /// Calls `each` with every batch of a segment from a number on, in their order.
    pub fn each_batch(
        &self,
        segment: u64,
        first: u64,
        mut each: impl FnMut(u64, ChangeBatch) -> Result<(), ArchiveError>,
    ) -> Result<(), ArchiveError> {
        let fail = |e| ArchiveError::store(&self.path, redb::Error::from(e));
        let range = (segment, first)..(segment + 1, 0);
        for row in self.batches.range(range).map_err(fail)? {
            let (key, value) = row.map_err(fail)?;
            let number = key.value().1;
            let name = format!("change batch {segment}/{number}");
            each(number, entry(&self.path, &name, value.value())?)?;
        }
        Ok(())
    }

    /// The changes by which a segment's history is recognised: the last ones that were
    /// compared, and all after them.
    pub fn recent_changes(
        &self,
        id: u64,
        segment: &Segment,
    ) -> Result<Vec<Fingerprint>, ArchiveError> {
        let fail = |e| ArchiveError::store(&self.path, redb::Error::from(e));
        let mut newest_first: Vec<Vec<Fingerprint>> = Vec::new();
        let mut compared = 0;
        let range = (id, segment.first_batch)..(id + 1, 0);
        for row in self.batches.range(range).map_err(fail)?.rev() {
            let (_, value) = row.map_err(fail)?;
            let batch: ChangeBatch = entry(&self.path, "the last change batch", value.value())?;
            newest_first.push(batch.changes.iter().map(Change::fingerprint).collect());
            if batch.until <= segment.verified {
                compared += batch.changes.len();
            }
            if compared > RECOGNISED_CHANGES {
                break;
            }
        }
        let mut recent = Vec::new();
        if compared <= RECOGNISED_CHANGES && segment.first_batch == 0 {
            recent.extend(segment.context.iter().cloned());
        }
        recent.extend(newest_first.into_iter().rev().flatten());
        let split = recent.partition_point(|c| c.version <= segment.verified);
        let unverified = recent.split_off(split);
        recent = last_whole_revisions(recent);
        recent.extend(unverified);
        Ok(recent)
    }

    /// Size of the file.
    pub fn file_bytes(&self) -> Result<u64, ArchiveError> {
        let meta = std::fs::metadata(&self.path);
        meta.map(|m| m.len())
            .map_err(|cause| ArchiveError::io(&self.path, cause))
    }
}

fn entries<T: DeserializeOwned>(
    path: &Path,
    table: &impl ReadableTable<u64, &'static [u8]>,
    name: &str,
) -> Result<Vec<(u64, T)>, ArchiveError> {
    let fail = |e| ArchiveError::store(path, redb::Error::from(e));
    let mut all = Vec::new();
    for row in table.iter().map_err(fail)? {
        let (id, value) = row.map_err(fail)?;
        let id = id.value();
        all.push((id, entry(path, &format!("{name} {id}"), value.value())?));
    }
    Ok(all)
}

fn each_record(
    path: &Path,
    table: &impl ReadableTable<(u64, &'static str), &'static [u8]>,
    image: u64,
    each: &mut dyn FnMut(&str, StoredRecord) -> Result<(), ArchiveError>,
) -> Result<(), ArchiveError> {
    let fail = |e| ArchiveError::store(path, redb::Error::from(e));
    for row in table.range(records_of(image)).map_err(fail)? {
        let (key, value) = row.map_err(fail)?;
        let key = key.value().1;
        let name = format!("record {key} of image {image}");
        each(key, entry(path, &name, value.value())?)?;
    }
    Ok(())
}

/// The tables within a transaction that is being written.
pub(crate) struct Step<'txn> {
    path: PathBuf,
    segments: Table<'txn, u64, &'static [u8]>,
    images: Table<'txn, u64, &'static [u8]>,
    records: Table<'txn, (u64, &'static str), &'static [u8]>,
    batches: Table<'txn, (u64, u64), &'static [u8]>,
}

impl<'txn> Step<'txn> {
    fn open(path: &Path, txn: &'txn WriteTransaction) -> Result<Self, ArchiveError> {
        let fail = |e| ArchiveError::store(path, redb::Error::from(e));
        Ok(Step {
            path: path.to_path_buf(),
            segments: txn.open_table(SEGMENTS).map_err(fail)?,
            images: txn.open_table(IMAGES).map_err(fail)?,
            records: txn.open_table(RECORDS).map_err(fail)?,
            batches: txn.open_table(BATCHES).map_err(fail)?,
        })
    }

    fn fail(&self) -> impl Fn(redb::StorageError) -> ArchiveError + Copy + '_ {
        move |e| ArchiveError::store(&self.path, e)
    }

    fn apply(&mut self, action: &Action, wall: Micros) -> Result<(), ArchiveError> {
        match action {
            Action::BeginSegment { gap, after } => self.begin_segment(gap, *after, wall),
            Action::SetContext(context) => {
                self.with_segment(|segment| segment.context = context.clone())
            }
            Action::BeginImage { first_page } => self.begin_image(*first_page, wall),
            Action::AddRecords(records) => self.add_records(records),
            Action::CompleteImage { revision } => self.complete_image(*revision),
            Action::AbandonImage => self.drop_incomplete_image(),
            Action::AddChanges(batch) => self.add_batch(batch),
            Action::DropChangesAfter(revision) => self.drop_changes_after(*revision),
            Action::EndSegment(gap) => {
                self.with_segment(|segment| segment.ended = Some(gap.clone()))
            }
            Action::Reached(revision) => self.with_segment(|segment| {
                segment.until = *revision;
                segment.last_contact = wall;
            }),
            Action::Verified(revision) => self.with_segment(|segment| {
                segment.verified = *revision;
                segment.last_contact = wall;
            }),
        }
    }

    /// All segments, oldest first.
    pub(crate) fn segments(&self) -> Result<Vec<(u64, Segment)>, ArchiveError> {
        entries(&self.path, &self.segments, "segment")
    }

    /// All images, oldest first.
    pub(crate) fn images(&self) -> Result<Vec<(u64, Image)>, ArchiveError> {
        entries(&self.path, &self.images, "image")
    }

    fn last_segment(&self) -> Result<(u64, Segment), ArchiveError> {
        self.segments()?
            .pop()
            .ok_or_else(|| ArchiveError::damaged(&self.path, "no segment is open"))
    }

    fn incomplete_image(&self) -> Result<Option<(u64, Image)>, ArchiveError> {
        let mut images = self.images()?;
        images.retain(|(_, image)| image.revision.is_none());
        Ok(images.pop())
    }

    fn put_segment(&mut self, id: u64, segment: &Segment) -> Result<(), ArchiveError> {
        let bytes = encode_entry(segment);
        let put = self.segments.insert(id, bytes.as_slice()).map(drop);
        put.map_err(self.fail())
    }

    fn put_image(&mut self, id: u64, image: &Image) -> Result<(), ArchiveError> {
        let bytes = encode_entry(image);
        let put = self.images.insert(id, bytes.as_slice()).map(drop);
        put.map_err(self.fail())
    }

    fn with_segment(&mut self, change: impl FnOnce(&mut Segment)) -> Result<(), ArchiveError> {
        let (id, mut segment) = self.last_segment()?;
        change(&mut segment);
        self.put_segment(id, &segment)
    }

    fn begin_segment(&mut self, gap: &Gap, after: u64, wall: Micros) -> Result<(), ArchiveError> {
        let id = self.segments()?.last().map_or(1, |(id, _)| id + 1);
        self.put_segment(
            id,
            &Segment {
                gap: gap.clone(),
                after,
                until: after,
                verified: after,
                first_batch: 0,
                next_batch: 0,
                context: Vec::new(),
                last_contact: wall,
                ended: None,
            },
        )
    }

    fn begin_image(&mut self, first_page: u64, wall: Micros) -> Result<(), ArchiveError> {
        self.drop_incomplete_image()?;
        let (segment, _) = self.last_segment()?;
        let id = self.images()?.last().map_or(1, |(id, _)| id + 1);
        self.put_image(
            id,
            &Image {
                segment,
                revision: None,
                first_page,
                begun: wall,
                records: 0,
                digest: Vec::new(),
            },
        )
    }

    fn add_records(&mut self, records: &[(String, StoredRecord)]) -> Result<(), ArchiveError> {
        let Some((id, _)) = self.incomplete_image()? else {
            return Err(ArchiveError::damaged(&self.path, "no image is being read"));
        };
        for (key, record) in records {
            self.put_record(id, key, record)?;
        }
        Ok(())
    }

    fn put_record(
        &mut self,
        image: u64,
        key: &str,
        record: &StoredRecord,
    ) -> Result<(), ArchiveError> {
        let bytes = encode_entry(record);
        let put = self.records.insert((image, key), bytes.as_slice());
        put.map(drop).map_err(self.fail())
    }

    /// Pages were read one after the other, each as of its own revision. The changes from the
    /// first page's revision on bring all of them to the last page's.
    fn complete_image(&mut self, revision: u64) -> Result<(), ArchiveError> {
        let Some((id, mut image)) = self.incomplete_image()? else {
            return Err(ArchiveError::damaged(&self.path, "no image is being read"));
        };
        let mut changes = self.changes_between(image.segment, image.first_page, revision)?;
        if is_left_out(Guard::ImageChanges) {
            changes.clear();
        }
        for change in changes {
            match change.value {
                Some(value) => {
                    let version = change.version;
                    self.put_record(id, &change.key, &StoredRecord { version, value })?;
                }
                None => {
                    let removed = self.records.remove((id, change.key.as_str())).map(drop);
                    removed.map_err(self.fail())?;
                }
            }
        }
        let mut digest = RecordDigest::default();
        each_record(&self.path, &self.records, id, &mut |key, record| {
            digest.add(key, &record);
            Ok(())
        })?;
        (image.records, image.digest) = digest.finish();
        image.revision = Some(revision);
        self.put_image(id, &image)
    }

    fn changes_between(
        &self,
        segment: u64,
        after: u64,
        until: u64,
    ) -> Result<Vec<Change>, ArchiveError> {
        let mut changes = Vec::new();
        let range = (segment, 0)..(segment + 1, 0);
        // Newest first: an image needs only the last of possibly many batches.
        for row in self.batches.range(range).map_err(self.fail())?.rev() {
            let (_, value) = row.map_err(self.fail())?;
            let batch: ChangeBatch = entry(&self.path, "a change batch", value.value())?;
            if batch.until <= after {
                break;
            }
            changes.extend(batch.changes.into_iter().rev());
        }
        changes.reverse();
        changes.retain(|c| c.version > after && c.version <= until);
        Ok(changes)
    }

    fn add_batch(&mut self, batch: &ChangeBatch) -> Result<(), ArchiveError> {
        let (id, mut segment) = self.last_segment()?;
        if batch.after != segment.until {
            let reason = format!(
                "changes after {} don't continue {}",
                batch.after, segment.until
            );
            return Err(ArchiveError::damaged(&self.path, reason));
        }
        let bytes = encode_entry(batch);
        let key = (id, segment.next_batch);
        let put = self.batches.insert(key, bytes.as_slice()).map(drop);
        put.map_err(self.fail())?;
        segment.next_batch += 1;
        segment.until = batch.until;
        segment.last_contact = batch.received;
        self.put_segment(id, &segment)
    }

    /// Drops the batches that begin at a revision or later; the one that holds the change of
    /// that revision stays whole.
    fn drop_changes_after(&mut self, revision: u64) -> Result<(), ArchiveError> {
        let (id, mut segment) = self.last_segment()?;
        let mut until = revision;
        while segment.next_batch > segment.first_batch {
            let key = (id, segment.next_batch - 1);
            let newest = self.batches.get(key).map_err(self.fail())?;
            let batch: Option<ChangeBatch> = newest.and_then(|b| decode_entry(b.value()));
            let Some(batch) = batch.filter(|b| b.after >= revision) else {
                break;
            };
            let removed = self.batches.remove(key).map(drop);
            removed.map_err(self.fail())?;
            segment.next_batch -= 1;
            until = batch.after;
        }
        segment.until = until;
        self.put_segment(id, &segment)
    }

    pub(crate) fn drop_incomplete_image(&mut self) -> Result<(), ArchiveError> {
        while let Some((id, _)) = self.incomplete_image()? {
            self.drop_image(id)?;
        }
        Ok(())
    }

    /// Drops an image with its records.
    pub(crate) fn drop_image(&mut self, id: u64) -> Result<(), ArchiveError> {
        let dropped = self.images.remove(id).map(drop);
        dropped.map_err(self.fail())?;
        let dropped = self.records.retain_in(records_of(id), |_, _| false);
        dropped.map_err(self.fail())
    }

    /// Drops a segment with all its changes.
    pub(crate) fn drop_segment(&mut self, id: u64) -> Result<(), ArchiveError> {
        let dropped = self.segments.remove(id).map(drop);
        dropped.map_err(self.fail())?;
        let range = (id, 0)..(id + 1, 0);
        let dropped = self.batches.retain_in(range, |_, _| false);
        dropped.map_err(self.fail())
    }

    /// Drops a segment's changes up to a revision, whole batches only.
    pub(crate) fn drop_changes_until(
        &mut self,
        id: u64,
        revision: u64,
    ) -> Result<(), ArchiveError> {
        let segments = self.segments()?;
        let Some((_, mut segment)) = segments.into_iter().find(|(n, _)| *n == id) else {
            return Ok(());
        };
        // The newest batch stays: by it the history is recognised after an interruption.
        while segment.first_batch + 1 < segment.next_batch {
            let key = (id, segment.first_batch);
            let oldest = self.batches.get(key).map_err(self.fail())?;
            let batch: Option<ChangeBatch> = oldest.and_then(|b| decode_entry(b.value()));
            let Some(batch) = batch.filter(|b| b.until <= revision) else {
                break;
            };
            let removed = self.batches.remove(key).map(drop);
            removed.map_err(self.fail())?;
            segment.first_batch += 1;
            segment.after = batch.until;
        }
        self.put_segment(id, &segment)
    }
}

#[cfg(test)]
mod tests;
