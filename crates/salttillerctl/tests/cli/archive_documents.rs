//! Tests that printed documents and schemas match the published schemas.

use std::path::Path;

use serde_json::{json, Value};

use crate::common::{ctl, succeed};
use crate::deployment::Deployment;

/// Guards against a change to a document or its schema without the same change to the published
/// schema.
#[test]
fn documents_match_their_published_schemas() {
    let deployment = Deployment::new("schemas", 20);
    succeed(&mut deployment.snapshot_command());
    let published = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/schemas");
    for (name, document) in [
        ("archive-export", deployment.export_json(None, None)),
        ("archive-list", deployment.list_json()),
    ] {
        let schema = succeed(&mut ctl(&["schema", name]));
        let schema: Value = serde_json::from_str(&schema).unwrap();
        let file = published.join(format!("{name}.schema.json"));
        let file: Value = serde_json::from_slice(&std::fs::read(file).unwrap()).unwrap();
        assert_eq!(
            schema, file,
            "{name}: `salttillerctl schema {name}` differs"
        );
        let schema = jsonschema::validator_for(&schema).unwrap();
        assert!(schema.is_valid(&document), "{name} must match its schema");
        let mut wrong = document.clone();
        wrong["version"] = json!("one");
        assert!(
            !schema.is_valid(&wrong),
            "{name} with an invalid version must not match its schema"
        );
    }
}
