//! Classes of request limits, and the routes that assign requests to them. Both are checked against the retry rules and the
//! platform's configuration, which a class can only narrow. The policy engine (`quillramp::policy`) applies the limits to requests.
mod check;
mod class;
mod platform;
mod route;
mod table;
pub(crate) use class::value_or;
pub use class::Class;
pub(crate) use platform::group_name;
pub use platform::{Operation, Platform};
pub use route::Route;
pub use table::{EffectiveLimits, Table};

use crate::document::{Document, Section};
use check::ClassCheck;
use quillramp_broker::contract::matches_any;
use std::collections::HashSet;

/// All classes and routes of a file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Routes {
    /// The classes, in the order of the file.
    pub classes: Vec<Class>,
    /// The routes, in the order of the file; the first that matches a request applies.
    pub routes: Vec<Route>,
}

/// Reads classes and routes, and reports errors to the document. Names are checked only if a platform is given.
pub(crate) fn read(document: &Document, file: &Section, platform: Option<&Platform>) -> Routes {
    let classes = class::read_all(file);
    let routes = route::read_all(document, file, &classes, platform);
    let routes = Routes { classes, routes };
    if let Some(platform) = platform {
        check_routed(document, &routes, platform);
    }
    routes
}

/// Checks each class once for each operation that any route assigns to it.
fn check_routed(document: &Document, routes: &Routes, platform: &Platform) {
    let mut checked = HashSet::new();
    for route in &routes.routes {
        let is_routed = |name: &str| matches_any(&route.operations, name);
        for operation in platform.operations.iter().filter(|operation| is_routed(&operation.name)) {
            if checked.insert((route.class, &operation.name)) {
                let class = &routes.classes[route.class];
                ClassCheck { document, class, route_line: route.line, operation, platform }.run();
            }
        }
    }
}
