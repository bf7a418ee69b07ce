//! What holds once a file is taken up, and where each value came from; for people.
mod operations;
mod sections;

use crate::routes::Platform;
use crate::OperatorSettings;

/// All that a file sets and, for a platform, what holds for each operation.
pub fn show(settings: &OperatorSettings, platform: Option<&Platform>) -> String {
    let mut text = sections::show(settings);
    match platform {
        Some(platform) => text += &operations::show(&settings.routes, platform),
        None => {
            let classes = settings.routes.classes.len();
            let routes = settings.routes.routes.len();
            text += &format!(
                "limits: {classes} classes, {routes} routes; name a configuration to see what holds\n"
            );
        }
    }
    text
}
