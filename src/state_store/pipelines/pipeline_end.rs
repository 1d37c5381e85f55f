//! The job by whose deadline the steps of a pipeline are judged.

use salttiller_records::units::Micros;

use super::{JobRecords, Pipelines};

/// Most steps that are followed towards the end of a pipeline.
const MAX_STEPS: usize = 64;

/// The job that ends a pipeline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PipelineEnd<'a> {
    /// Name.
    pub id: &'a str,
    /// Class.
    pub class: &'a str,
    /// Its own deadline, from its submission.
    pub deadline: Micros,
}

impl Pipelines {
    /// The job that ends a pipeline of which this one is a step: the nearest with a
    /// deadline of its own among those that need it, on the most urgent path. `None` for a
    /// job that is no step of a pipeline.
    pub fn end_of<'a>(&'a self, id: &'a str, jobs: &'a impl JobRecords) -> Option<PipelineEnd<'a>> {
        let mut step = id;
        for _ in 0..MAX_STEPS {
            let spec = jobs.open_spec(step)?;
            let stored = spec.stored_spec.as_ref().unwrap_or(spec);
            let in_pipeline = step != id || !stored.dependencies.is_empty();
            if let (Some(deadline), true) = (stored.deadline, in_pipeline) {
                return Some(PipelineEnd {
                    id: step,
                    class: &stored.class,
                    deadline,
                });
            }
            step = self.most_urgent_dependent(step, jobs)?;
        }
        None
    }

    fn most_urgent_dependent(&self, id: &str, jobs: &impl JobRecords) -> Option<&str> {
        let due_at = |id: &str| {
            let spec = jobs.open_spec(id)?;
            Some(spec.submitted_at + spec.deadline?)
        };
        let dependents = self.dependents(id);
        let due = dependents.filter_map(|dependent| Some((due_at(dependent)?, dependent.as_str())));
        due.min().map(|(_, dependent)| dependent)
    }
}
