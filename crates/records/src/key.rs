//! Keys of the records in the state service. Their texts are published.

/// Prefix of every key; one watch over it sees all records.
pub const PREFIX: &str = "st/";

/// The keys, each with the record it names.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Key {
    /// `leader`: who leads.
    Leader,
    /// `token`: the last fencing token that was handed out.
    Token,
    /// `region/REGION`: who owns a region.
    Region(String),
    /// `machine/MACHINE`: a machine and the region it is assigned to, as versions before 0.2
    /// stored it.
    Machine(String),
    /// `lot/BATCH`: machines that were provisioned together and the region they are assigned
    /// to.
    MachineBatch(String),
    /// `roll/REGION/NUMBER`: which machines of a region's batches were activated; a region
    /// has as many of these records as its batches need, numbered from 0.
    Activation(String, u32),
    /// `job/JOB`: a job.
    Job(String),
    /// `progress/JOB/REGION/CHUNK`: finished tasks of a job, as one region found them, in
    /// chunks of [`CHUNK_SIZE`](crate::bitmap::CHUNK_SIZE) task numbers.
    Progress(String, String, u32),
    /// `quota/TEAM`: how a team's limit is shared out among the regions.
    Quota(String),
    /// `flavor/TYPE`: a machine type.
    MachineType(String),
    /// `hold`: that records were lost, and what operators decided.
    DataLossHold,
}

impl Key {
    /// The key as text.
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

    /// Reads a key; `None` for one that this version doesn't know.
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
