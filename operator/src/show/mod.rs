//! The text of the `show` command: the effective settings, and the source of each value.
mod operations;
mod sections;

use crate::routes::Platform;
use crate::OperatorSettings;

/// Describes the settings of a file and, if a platform is given, the effective limits of each of its operations.
pub fn show(settings: &OperatorSettings, platform: Option<&Platform>) -> String {
    let mut text = sections::show(settings);
    match platform {
        Some(platform) => text += &operations::show(&settings.routes, platform),
        None => {
            let classes = settings.routes.classes.len();
            let routes = settings.routes.routes.len();
            text += &format!(
                "limits: {classes} classes, {routes} routes; add --configuration to show the limits of each operation\n"
            );
        }
    }
    text
}
