//! Writes the JSON Schemas of the configuration document and of the settings to `docs/schema`.

use std::{fs, io, path::Path};

use burdockroad::Document;
use burdockroad_daemon::settings::Settings;

fn main() -> io::Result<()> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/schema");
    fs::create_dir_all(&directory)?;
    let document = schemars::schema_for!(Document);
    let settings = schemars::schema_for!(Settings);
    fs::write(
        directory.join("document.json"),
        format!("{:#}\n", document.as_value()),
    )?;
    fs::write(
        directory.join("settings.json"),
        format!("{:#}\n", settings.as_value()),
    )
}
