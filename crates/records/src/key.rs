//! Keys of the records in the state service.

/// Prefix of every key; one watch over it sees all records.
pub const PREFIX: &str = "st/";

/// The keys, each with the record it names.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Key {
    /// Who leads.
    Leader,
    /// The last token handed out.
    Token,
    /// Who owns a region.
    Region(String),
    /// A machine and the region it is assigned to, as versions before 0.2 kept it.
    Machine(String),
    /// Machines rented together and the region they are assigned to.
    MachineBatch(String),
    /// Which machines of a region's batches were opened, by region and number.
    Activation(String, u32),
    /// A job.
    Job(String),
    /// Finished tasks of a job, as one region found them.
    Progress(String, String, u32),
    /// How a team's limit is shared out.
    Quota(String),
    /// A machine type.
    MachineType(String),
    /// That records were lost, and what operators decided.
    DataLossHold,
}

impl Key {
    /// The key as text.
    pub fn text(&self) -> String {
        match self {
            Key::Leader => format!("{PREFIX}leader"),
            Key::Token => format!("{PREFIX}token"),
            Key::Region(r) => format!("{PREFIX}region/{r}"),
            Key::Machine(m) => format!("{PREFIX}machine/{m}"),
            Key::MachineBatch(l) => format!("{PREFIX}lot/{l}"),
            Key::Activation(r, n) => format!("{PREFIX}roll/{r}/{n}"),
            Key::Job(j) => format!("{PREFIX}job/{j}"),
            Key::Progress(j, r, c) => format!("{PREFIX}progress/{j}/{r}/{c}"),
            Key::Quota(t) => format!("{PREFIX}quota/{t}"),
            Key::MachineType(f) => format!("{PREFIX}flavor/{f}"),
            Key::DataLossHold => format!("{PREFIX}hold"),
        }
    }

    /// Reads a key; `None` for one that this version doesn't know.
    pub fn parse(s: &str) -> Option<Key> {
        let s = s.strip_prefix(PREFIX)?;
        let (kind, rest) = s.split_once('/').unwrap_or((s, ""));
        Some(match kind {
            "leader" => Key::Leader,
            "token" => Key::Token,
            "hold" => Key::DataLossHold,
            "region" => Key::Region(rest.into()),
            "machine" => Key::Machine(rest.into()),
            "lot" => Key::MachineBatch(rest.into()),
            "roll" => {
                let (r, n) = rest.rsplit_once('/')?;
                Key::Activation(r.into(), n.parse().ok()?)
            }
            "job" => Key::Job(rest.into()),
            "quota" => Key::Quota(rest.into()),
            "flavor" => Key::MachineType(rest.into()),
            "progress" => {
                let mut p = rest.splitn(3, '/');
                Key::Progress(p.next()?.into(), p.next()?.into(), p.next()?.parse().ok()?)
            }
            _ => return None,
        })
    }
}
