//! Keys of the records in the state service. The texts of the keys are published and must not
//! change.

/// Prefix of every key. A watch of this prefix receives the changes of all records.
pub const PREFIX: &str = "st/";

/// Key of a record. The documentation of each variant has the text after [`PREFIX`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Key {
    /// `leader`: the current leader.
    Leader,
    /// `token`: the last fencing token that was issued.
    Token,
    /// `region/REGION`: the owner of a region.
    Region(String),
    /// `machine/MACHINE`: a machine and the region that it is assigned to, as stored by versions
    /// before 0.2.
    Machine(String),
    /// `lot/BATCH`: machines that were provisioned together, and the region that they are assigned
    /// to.
    MachineBatch(String),
    /// `roll/REGION/NUMBER`: which machines of a region's batches were activated. A region has as
    /// many of these records as its batches require, numbered from 0.
    Activation(String, u32),
    /// `job/JOB`: a job.
    Job(String),
    /// `progress/JOB/REGION/CHUNK`: the finished tasks of a job that a region recorded, in chunks
    /// of [`CHUNK_SIZE`](crate::bitmap::CHUNK_SIZE) task numbers.
    Progress(String, String, u32),
    /// `quota/TEAM`: the shares of the regions in a team's limit.
    Quota(String),
    /// `flavor/TYPE`: a machine type.
    MachineType(String),
    /// `hold`: a loss of records and the decision of operators about it.
    DataLossHold,
}

impl Key {
    /// Returns the key as text.
    #[must_use]
    pub fn text(&self) -> String {
        match self {
            Key::Leader => format!("{PREFIX}leader"),
            Key::Token => format!("{PREFIX}token"),
            Key::Region(region) => format!("{PREFIX}region/{region}"),
            Key::Machine(machine) => format!("{PREFIX}machine/{machine}"),
            Key::MachineBatch(batch) => format!("{PREFIX}lot/{batch}"),
            Key::Activation(region, number) => format!("{PREFIX}roll/{region}/{number}"),
            Key::Job(job) => format!("{PREFIX}job/{job}"),
            Key::Progress(job, region, chunk) => {
                format!("{PREFIX}progress/{job}/{region}/{chunk}")
            }
            Key::Quota(team) => format!("{PREFIX}quota/{team}"),
            Key::MachineType(name) => format!("{PREFIX}flavor/{name}"),
            Key::DataLossHold => format!("{PREFIX}hold"),
        }
    }

    /// Parses a key. Returns `None` if this version does not know keys of this form.
    #[must_use]
    pub fn parse(text: &str) -> Option<Key> {
        let key = text.strip_prefix(PREFIX)?;
        let (kind, rest) = key.split_once('/').unwrap_or((key, ""));
        Some(match kind {
            "leader" => Key::Leader,
            "token" => Key::Token,
            "hold" => Key::DataLossHold,
            "region" => Key::Region(rest.into()),
            "machine" => Key::Machine(rest.into()),
            "lot" => Key::MachineBatch(rest.into()),
            "roll" => {
                let (region, number) = rest.rsplit_once('/')?;
                Key::Activation(region.into(), number.parse().ok()?)
            }
            "job" => Key::Job(rest.into()),
            "quota" => Key::Quota(rest.into()),
            "flavor" => Key::MachineType(rest.into()),
            "progress" => {
                let mut parts = rest.splitn(3, '/');
                let (job, region, chunk) = (parts.next()?, parts.next()?, parts.next()?);
                Key::Progress(job.into(), region.into(), chunk.parse().ok()?)
            }
            _ => return None,
        })
    }
}
