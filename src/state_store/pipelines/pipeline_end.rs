//! Finds the job whose deadline applies to the steps of a pipeline.

use salttiller_records::units::Micros;

use super::{JobRecords, Pipelines};

/// Maximum number of steps that are followed to the end of a pipeline.
const MAX_STEPS: usize = 64;

/// The job that ends a pipeline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PipelineEnd<'a> {
    /// Name of the job.
    pub id: &'a str,
    /// Class of the job.
    pub class: &'a str,
    /// The job's own deadline, counted from its submission.
    pub deadline: Micros,
}

impl Pipelines {
    /// Returns the job that ends the pipeline of which `id` is a step: the first job with a
    /// deadline of its own on the most urgent path of dependents, starting with `id`. `None`
    /// if the job is not a step of a pipeline.
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
